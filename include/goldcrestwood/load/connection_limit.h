#pragma once

/// @file
/// Bounds the connections of a listener, and chooses which one makes room for a new one.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Connections that a daemon accepts. The remaining descriptors are for upstreams, the store, peers that it queries, and files.
struct ConnectionBudget {
    std::size_t clients = 0;
    std::size_t control = 0; ///< Readiness, directory, metrics and state, each.
    std::size_t peers = 0;

    bool operator==(const ConnectionBudget&) const = default;
};

/// @param maxDescriptors Descriptors that the process may open.
/// @param memoryBytes Memory of the process; 0 if unknown.
ConnectionBudget connectionBudget(std::uint64_t maxDescriptors, std::uint64_t memoryBytes);

/// Load pattern: clients open connections and leave them idle, or send heads a byte at a time. At the limit, a new connection takes the
/// place of the one that has waited longest for a request or its next bytes; a request in progress is never given up for it. Clients that
/// always have a next request there would keep all places, so one of them leaves after its request if a new connection was refused.
class ConnectionLimit {
public:
    /// @param limit Number of connections.
    explicit ConnectionLimit(std::size_t limit)
        : maxConnections(limit)
    {
    }

    ConnectionLimit(const ConnectionLimit&) = delete;
    ConnectionLimit& operator=(const ConnectionLimit&) = delete;

    /// One connection, from its acceptance to its close.
    class Entry {
    public:
        Entry(ConnectionLimit& owner, TimePoint now);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

        /// @param close Closes the connection; it is not closed for a new one before this is set.
        void onEvicted(std::function<void()> close) { this->closeConnection = std::move(close); }
        /// A request is waited for or received from @p now on.
        void waits(TimePoint now);
        /// A request is in progress.
        void serves() { this->isServing = true; }
        /// A request has ended and the next one is there already.
        /// @return Whether the connection must close, because a new one was refused while requests were in progress on all of them.
        bool yields() { return std::exchange(this->limit.owesPlace, false); }

    private:
        friend class ConnectionLimit;

        ConnectionLimit& limit;
        std::function<void()> closeConnection;
        TimePoint since;
        bool isServing = false;
        bool isClosing = false;
        std::list<Entry*>::iterator position;
    };

    /// @return The place of a new connection; null if requests are in progress on all connections.
    std::unique_ptr<Entry> admit(TimePoint now);

    /// @return Number of connections.
    std::size_t size() const { return this->entries.size() - this->closing; }
    /// @return Number of connections closed for new ones so far.
    std::uint64_t evictions() const { return this->evictionCount; }
    /// @return Number of connections that were not admitted so far.
    std::uint64_t refusals() const { return this->refusalCount; }

private:
    Entry* longestWaiting() const;

    std::size_t maxConnections;
    std::size_t closing = 0; ///< Entries whose connections are closed already.
    std::uint64_t evictionCount = 0;
    std::uint64_t refusalCount = 0;
    bool owesPlace = false; ///< A new connection was refused, and no place has become free since.
    std::list<Entry*> entries;
};

} // namespace goldcrestwood
