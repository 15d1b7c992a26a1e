#pragma once

/// @file
/// Reads a topic of the store by long polling and applies new records.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "edge/beliefs.h"
#include "edge/http_call.h"

namespace goldcrestwood {

/// Follows one keyed topic for the life of the process.
class TopicReader {
public:
    using ApplyRecords = void (*)(EdgeState&, const std::vector<KeyedRecord>&, RecordSource);
    /// @return Pause between new records and the next read, so that records are read in batches.
    using BatchPause = Duration (*)(const EdgeState&);

    TopicReader(EdgeState& state, const asio::any_io_executor& executor, std::string topic, KeyedFeed& feed, TopicContact& contact, ApplyRecords onRecords, BatchPause pauseAfterRecords);

    /// Reads until the process stops.
    Task<> run();

    /// Aborts a read of which nothing arrives, so that the topic is read again at once on a new connection.
    void refresh();

    /// Applies what a peer has read.
    /// @param end Position up to which it has read the topic.
    /// @param isListing Whether a key without a record is gone.
    /// @return Number of records that were newer than those held, and of removals.
    std::size_t applyPeerRecords(const std::vector<KeyedRecord>& records, std::uint64_t end, bool isListing);

private:
    Task<> wait(Duration pause);
    /// @return Whether the writers may not have written again yet what the store has lost.
    bool isSettling() const;
    Task<bool> list();
    Task<bool> readNext();
    void updateContact(bool answered);
    /// Notes how a call ended, for the log.
    void noteOutcome(const tl::expected<HttpAnswer, CallFailure>& answer, TimePoint asked);
    /// @return How often the store had returned from an older copy when it gave @p answer; nothing if that is before the last known
    /// return.
    std::optional<std::uint64_t> eraOf(const HttpAnswer& answer) const;
    /// @return The records newer than those held, and removals.
    std::vector<KeyedRecord> applyListing(const std::vector<KeyedRecord>& records, std::uint64_t listedUpTo);

    EdgeState& state;
    asio::any_io_executor executor;
    std::string topic;
    KeyedFeed& feed;
    TopicContact& contact;
    ApplyRecords applyRecords;
    BatchPause batchPause;
    HttpCaller caller;
    bool needsListing = true;
    std::uint64_t listedEra = 0; ///< Highest era of the store's listings.
    /// When the writers have written again what the store has lost; set while that is awaited.
    std::optional<TimePoint> settlesAt;
    bool hadRecords = false;
    int failures = 0;
    CallFailure lastOutcome; ///< Of an answered call its status.
    Duration lastCallTime = Duration(0); ///< From the last call to its outcome.
};

} // namespace goldcrestwood
