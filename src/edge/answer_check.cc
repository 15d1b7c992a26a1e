#include "edge/answer_check.h"

#include "daemon/framing.h"

namespace goldcrestwood {

HeadVerdict checkHead(const platform::AnswerInfo& answer, unsigned status, const std::string& requestId)
{
    if (answer.isAmbiguous)
        return HeadVerdict::Ambiguous;
    if (answer.requestId != requestId)
        return answer.requestId.empty() ? HeadVerdict::Unidentified : HeadVerdict::Stale;
    if (answer.isEncoded)
        return HeadVerdict::Encoded;
    if (!isSuccessStatus(status))
        return HeadVerdict::Own;
    if (answer.provesNotRun)
        return HeadVerdict::Contradictory;
    return answer.isSealed ? HeadVerdict::Own : HeadVerdict::Unsigned;
}

const char* toString(HeadVerdict verdict)
{
    switch (verdict) {
    case HeadVerdict::Own:
        return "the answer to the request";
    case HeadVerdict::Stale:
        return "an answer to another request";
    case HeadVerdict::Unidentified:
        return "an answer without a request id";
    case HeadVerdict::Unsigned:
        return "a success without a signature";
    case HeadVerdict::Contradictory:
        return "a success that states that the request has not run";
    case HeadVerdict::Ambiguous:
        return "an answer with several request ids or signatures";
    case HeadVerdict::Encoded:
        return "an answer with a content coding";
    }
    return "unknown";
}

} // namespace goldcrestwood
