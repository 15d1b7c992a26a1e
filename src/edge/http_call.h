#pragma once

/// @file
/// HTTP calls with a timeout on a persistent connection, for the store and for control calls to upstreams.

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "edge/net.h"
#include "edge/upstream_pool.h"
#include "goldcrestwood/transfer_deadline.h"
#include "goldcrestwood/transfer_memory.h"

namespace goldcrestwood {

/// Request of an HTTP call.
struct OutgoingCall {
    http::verb method = http::verb::get;
    std::string target;
    std::string body;
    const char* contentType = nullptr;
    std::vector<std::pair<const char*, std::string>> headers;
};

/// Complete answer of an HTTP call.
struct HttpAnswer {
    unsigned status = 0;
    http::fields fields;
    std::string body;
};

/// Why a call has no answer.
struct CallFailure {
    std::string reason;
    std::uint64_t receivedBytes = 0; ///< Bytes of the answer that had arrived.
};

/// Makes calls to one address, one at a time. A call that fails closes the connection.
class HttpCaller {
public:
    /// Fits a full page of records of the platform's store.
    static constexpr std::uint64_t defaultMaxAnswerBytes = 16U << 20U;
    /// Fits a report on all requests of an upstream, and the newest events of its cache. What a faulty upstream sends may decode to
    /// many times its size.
    static constexpr std::uint64_t maxUpstreamAnswerBytes = 1U << 20U;
    /// Fits a listing of twice as many parts as the largest cache store holds.
    static constexpr std::uint64_t maxCacheStoreAnswerBytes = 2U << 20U;

    /// @param memory Bounds the answers of all callers together.
    HttpCaller(asio::any_io_executor executor, TransferMemory& memory, std::string address, std::uint64_t maxAnswerBytes = defaultMaxAnswerBytes);

    /// @param timeout Time until the answer begins, including connecting. The rest may take longer while its bytes arrive
    /// (TransferDeadline).
    /// @return The answer; the call may have been executed even without one.
    Task<tl::expected<HttpAnswer, CallFailure>> call(const OutgoingCall& call, Duration timeout);

    /// Aborts a call in progress.
    void abort();

    /// @return Whether an answer is arriving.
    bool isReceiving(TimePoint now) const { return this->transfer && this->transfer->isProgressing(now); }

private:
    Task<tl::expected<HttpAnswer, CallFailure>> attempt(const OutgoingCall& call, Duration timeout);

    asio::any_io_executor executor;
    TransferMemory& memory;
    std::string address;
    std::uint64_t bodyLimit;
    ConnectionPtr connection;
    std::optional<TransferDeadline> transfer; ///< Of the answer that is awaited.
};

} // namespace goldcrestwood
