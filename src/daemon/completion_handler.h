#pragma once

/// @file
/// Serves completion requests: authenticates, admits, runs and resumes them.

#include <atomic>
#include <cstdint>
#include <string>

#include "daemon/completion_call.h"
#include "daemon/serving.h"
#include "goldcrestwood/retry_budget.h"

namespace goldcrestwood {

class CompletionHandler {
public:
    explicit CompletionHandler(const Serving& serving);

    void serve(CompletionShape shape, HttpExchange& exchange);

private:
    tl::expected<CompletionCall, Problem> readCall(CompletionShape shape, HttpExchange& exchange, const ClientAccount& account) const;
    std::string newRequestId();

    Serving serving;
    std::atomic<std::uint64_t> requests = 0;
    std::mutex retryMutex;
    RetryBudget retries;
    Random random;
};

} // namespace goldcrestwood
