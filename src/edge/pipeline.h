#pragma once

/// @file
/// Request pipeline: authenticate, route, place, send, relay, finish.

#include "edge/crash_watch.h"
#include "edge/edge_state.h"
#include "edge/exchange.h"
#include "edge/service_queue.h"

namespace goldcrestwood {

/// Serves callers' requests from the upstreams on the board.
class Pipeline {
public:
    Pipeline(EdgeState& state, UpstreamPool& pool, ServiceQueues& queues, CrashWatch& crashWatch);

    /// Answers the request of @p exchange. On return the caller's connection can be reused if clientKeepAlive is set.
    Task<> serve(ClientExchange& exchange);

private:
    struct Attempt;

    Task<> reject(ClientExchange& exchange, unsigned status, const char* reason, std::optional<Duration> retryAfter = std::nullopt);
    bool admit(ClientExchange& exchange, unsigned& status, const char*& reason);
    /// @return Whether this daemon may stop before a request that it has just received has its answer.
    bool outlastsStop(const ClientExchange& exchange) const;
    Task<> run(ClientExchange& exchange);
    /// @return When a request that has not begun at @p choice must be withdrawn because newer weights become mandatory.
    std::optional<TimePoint> weightsDeadline(const ClientExchange& exchange, const PlacementChoice& choice) const;
    Task<> attempt(ClientExchange& exchange, Attempt& attempt);
    /// @return Why an answer was late, for the log; empty if it was on time. A caller's retry counts from its own arrival.
    static const char* latenessReason(const ClientExchange& exchange, const Attempt& attempt);
    /// @return Why upstreams cannot take the request, for the log.
    std::string obstacles(const ClientExchange& exchange) const;
    /// Returns the connection of a finished attempt to the pool.
    void keepConnection(Attempt& attempt);
    Task<ConnectionPtr> openConnection(ClientExchange& exchange, const PlacementChoice& choice);
    Task<bool> readHead(ClientExchange& exchange, Attempt& attempt);
    /// Applies the drain and back-off notices in the head of an answer.
    void applyNotice(const ClientExchange& exchange, const Attempt& attempt);
    /// Applies the load reported in the head of an answer to this attempt. A stale answer says nothing about the current load.
    void applyLoad(const Attempt& attempt);
    /// Applies the request limit in the head of an answer to this attempt.
    void applyLimit(const ClientExchange& exchange, const Attempt& attempt);
    /// @return The incarnation that answered, by its id and start; nothing if it is not known.
    std::optional<std::pair<UpstreamId, std::int64_t>> answeredBy(const Attempt& attempt) const;
    static Task<std::size_t> readPiece(Attempt& attempt, std::string& piece, ErrorCode& error);
    /// The connections of a crashed process end in order too, so an answer that ends with its connection is complete only if its
    /// upstream still accepts a new one.
    /// @return Whether the answer that has been read is complete.
    Task<bool> confirmEnd(ClientExchange& exchange, const Attempt& attempt);
    Task<> relayBuffered(ClientExchange& exchange, Attempt& attempt);
    /// @param completeBytes Length of the prefix of @p piece that ends at an event boundary.
    Task<bool> relayPiece(ClientExchange& exchange, Attempt& attempt, std::string_view piece, std::size_t completeBytes);
    Task<> relayStream(ClientExchange& exchange, Attempt& attempt);
    Task<bool> writeStreamPiece(ClientExchange& exchange, Attempt& attempt, const char* data, std::size_t size, bool more);
    Task<> forwardBufferedAnswer(ClientExchange& exchange, Attempt& attempt);
    /// Counts a run for the usage reports.
    void countRun(const ClientExchange& exchange, const Attempt& attempt);
    /// Records the outcome of a send as evidence for a service's roll-out.
    void recordRolloutOutcome(const ClientExchange& exchange, const Attempt& attempt);
    /// Records a completed answer or a broken connection as evidence on the parts of the prompt.
    void recordPartOutcome(const ClientExchange& exchange, const Attempt& attempt);
    /// @return Whether the request has a quarantined prompt part; sets when the caller may try again.
    bool isQuarantined(ClientExchange& exchange) const;
    bool maySendAgain(ClientExchange& exchange, const Attempt& attempt);
    /// Reserves a further send in the service's budget.
    bool reserveFurtherSend(ClientExchange& exchange);
    Task<> giveUp(ClientExchange& exchange, Attempt& attempt);
    http::request<http::string_body> upstreamRequest(const ClientExchange& exchange, const PlacementChoice& choice, const std::string& lastEvent) const;

    EdgeState& state;
    UpstreamPool& pool;
    ServiceQueues& queues;
    CrashWatch& crashes;
};

} // namespace goldcrestwood
