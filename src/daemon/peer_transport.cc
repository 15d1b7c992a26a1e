#include "daemon/peer_transport.h"

#include <array>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include "daemon/http_client.h"

namespace goldcrestwood {

namespace {

    namespace asio = boost::asio;
    using Tcp = asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    constexpr std::size_t headerSize = 4;
    constexpr std::uint32_t maxFrameSize = 64U << 20;
    constexpr std::size_t maxQueuedBytes = 64U << 20;
    constexpr std::size_t transportThreads = 2;
    constexpr Duration sweepInterval = std::chrono::milliseconds(20);
    constexpr Duration connectTimeout = std::chrono::milliseconds(500);

    struct Counters {
        std::atomic<std::uint64_t> framesSent = 0;
        std::atomic<std::uint64_t> bytesSent = 0;
        std::atomic<std::uint64_t> framesReceived = 0;
        std::atomic<std::uint64_t> bytesReceived = 0;
        std::atomic<std::uint64_t> timeouts = 0;
    };

    Tcp::endpoint endpointOf(const std::string& address)
    {
        const auto [host, port] = splitAddress(address);
        return { asio::ip::make_address(host), port };
    }

    std::string frameBytes(const PeerFrame& frame)
    {
        const auto body = encode(frame);
        const auto size = static_cast<std::uint32_t>(body.size());
        std::string bytes;
        bytes.reserve(headerSize + body.size());
        for (const int shift : { 24, 16, 8, 0 })
            bytes.push_back(static_cast<char>((size >> shift) & 0xffU));
        return bytes + body;
    }

    /// One connection; all of its handlers run on its strand.
    class Session : public std::enable_shared_from_this<Session> {
    public:
        using FrameHandler = std::function<void(const std::shared_ptr<Session>&, PeerFrame)>;
        using CloseHandler = std::function<void()>;

        Session(Tcp::socket stream, Counters& total, FrameHandler frameHandler)
            : socket(std::move(stream))
            , counters(total)
            , onFrame(std::move(frameHandler))
        {
        }

        void setCloseHandler(CloseHandler handler) { this->onClose = std::move(handler); }

        void startReading()
        {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->readHeader(); });
        }

        void connect(const Tcp::endpoint& endpoint)
        {
            this->timer.expires_after(connectTimeout);
            this->timer.async_wait([self = this->shared_from_this()](ErrorCode error) {
                if (!error)
                    self->closeNow();
            });
            this->socket.async_connect(endpoint, [self = this->shared_from_this()](ErrorCode error) {
                self->timer.cancel();
                if (error) {
                    self->closeNow();
                    return;
                }
                ErrorCode ignored;
                self->socket.set_option(Tcp::no_delay(true), ignored);
                self->connected = true;
                self->readHeader();
                self->writeNext();
            });
        }

        /// @return Whether the frame was queued; false if the send queue is full.
        bool send(const PeerFrame& frame)
        {
            auto bytes = frameBytes(frame);
            if (this->queuedBytes.fetch_add(bytes.size()) + bytes.size() > maxQueuedBytes) {
                this->queuedBytes.fetch_sub(bytes.size());
                return false;
            }
            asio::post(this->socket.get_executor(), [self = this->shared_from_this(), bytes = std::move(bytes)]() mutable {
                self->queue.push_back(std::move(bytes));
                if (self->connected && self->queue.size() == 1)
                    self->writeNext();
            });
            return true;
        }

        void close()
        {
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->closeNow(); });
        }

        void markConnected() { this->connected = true; }
        bool isClosed() const { return this->closed; }

    private:
        void readHeader()
        {
            asio::async_read(this->socket, asio::buffer(this->header), [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                if (error) {
                    self->closeNow();
                    return;
                }
                std::uint32_t size = 0;
                for (const auto byte : self->header)
                    size = (size << 8U) | byte;
                if (size > maxFrameSize) {
                    self->closeNow();
                    return;
                }
                self->readBody(size);
            });
        }

        void readBody(std::uint32_t size)
        {
            this->body.resize(size);
            asio::async_read(this->socket, asio::buffer(this->body), [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                if (error) {
                    self->closeNow();
                    return;
                }
                auto frame = decode<PeerFrame>(self->body);
                if (!frame) {
                    self->closeNow();
                    return;
                }
                self->counters.framesReceived += 1;
                self->counters.bytesReceived += headerSize + self->body.size();
                self->onFrame(self, std::move(*frame));
                self->readHeader();
            });
        }

        void writeNext()
        {
            if (this->queue.empty() || this->closed)
                return;
            asio::async_write(this->socket, asio::buffer(this->queue.front()), [self = this->shared_from_this()](ErrorCode error, std::size_t count) {
                if (error) {
                    self->closeNow();
                    return;
                }
                self->counters.framesSent += 1;
                self->counters.bytesSent += count;
                self->queuedBytes.fetch_sub(count);
                self->queue.pop_front();
                self->writeNext();
            });
        }

        void closeNow()
        {
            if (this->closed.exchange(true))
                return;
            ErrorCode ignored;
            this->socket.close(ignored);
            this->timer.cancel();
            if (this->onClose)
                this->onClose();
        }

        Tcp::socket socket;
        asio::steady_timer timer { this->socket.get_executor() };
        Counters& counters;
        FrameHandler onFrame;
        CloseHandler onClose;
        std::array<unsigned char, headerSize> header {};
        std::string body;
        std::deque<std::string> queue;
        std::atomic<std::size_t> queuedBytes = 0;
        std::atomic<bool> closed = false;
        bool connected = false;
    };

} // namespace

const char* toString(PeerError error)
{
    switch (error) {
    case PeerError::Unreachable:
        return "unreachable";
    case PeerError::Timeout:
        return "timeout";
    case PeerError::Closed:
        return "closed";
    case PeerError::Refused:
        return "refused";
    case PeerError::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

struct PeerTransport::State {
    struct PendingCall {
        PeerCallback callback;
        std::chrono::steady_clock::time_point deadline;
    };

    /// A connection to a peer and its pending calls.
    struct Link {
        std::shared_ptr<Session> session;
        std::mutex mutex;
        std::map<std::uint64_t, PendingCall> pending;
        bool closed = false;
    };

    explicit State(PeerHandler messageHandler)
        : handler(std::move(messageHandler))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(asio::make_strand(this->context), [this](ErrorCode error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error) {
                ErrorCode ignored;
                socket.set_option(Tcp::no_delay(true), ignored);
                auto session = std::make_shared<Session>(std::move(socket), this->counters,
                    [this](const std::shared_ptr<Session>& from, PeerFrame frame) { this->serve(from, std::move(frame)); });
                session->markConnected();
                session->startReading();
            }
            this->accept();
        });
    }

    void serve(const std::shared_ptr<Session>& session, PeerFrame frame)
    {
        const auto id = frame.requestId;
        const std::weak_ptr<Session> weak = session;
        this->handler({ std::move(frame.kind), std::move(frame.payload) }, [weak, id](PeerMessage reply) {
            const auto target = weak.lock();
            if (target && id != 0)
                target->send({ id, true, std::move(reply.kind), std::move(reply.payload) });
        });
    }

    std::shared_ptr<Link> linkTo(const std::string& address)
    {
        const std::lock_guard lock(this->linksMutex);
        auto& link = this->links[address];
        if (link && !link->session->isClosed())
            return link;
        link = std::make_shared<Link>();
        const std::weak_ptr<Link> weak = link;
        link->session = std::make_shared<Session>(Tcp::socket(asio::make_strand(this->context)), this->counters,
            [weak](const std::shared_ptr<Session>&, PeerFrame frame) { deliver(weak.lock(), std::move(frame)); });
        link->session->setCloseHandler([weak] { failPendingCalls(weak.lock()); });
        link->session->connect(endpointOf(address));
        return link;
    }

    static void deliver(const std::shared_ptr<Link>& link, PeerFrame frame)
    {
        if (!link || !frame.isReply)
            return;
        auto callback = takeCallback(*link, frame.requestId);
        if (!callback)
            return;
        if (frame.kind.empty())
            callback(tl::unexpected(PeerError::Refused));
        else
            callback(PeerMessage { std::move(frame.kind), std::move(frame.payload) });
    }

    static PeerCallback takeCallback(Link& link, std::uint64_t id)
    {
        const std::lock_guard lock(link.mutex);
        const auto found = link.pending.find(id);
        if (found == link.pending.end())
            return {};
        auto callback = std::move(found->second.callback);
        link.pending.erase(found);
        return callback;
    }

    static void failPendingCalls(const std::shared_ptr<Link>& link)
    {
        if (!link)
            return;
        std::map<std::uint64_t, PendingCall> pending;
        {
            const std::lock_guard lock(link->mutex);
            link->closed = true;
            pending.swap(link->pending);
        }
        for (auto& [id, call] : pending)
            call.callback(tl::unexpected(PeerError::Closed));
    }

    void sweep()
    {
        this->sweepTimer.expires_after(sweepInterval);
        this->sweepTimer.async_wait([this](ErrorCode error) {
            if (error)
                return;
            this->expireCalls(std::chrono::steady_clock::now());
            this->sweep();
        });
    }

    void expireCalls(std::chrono::steady_clock::time_point now)
    {
        std::map<std::string, std::shared_ptr<Link>> open;
        {
            const std::lock_guard lock(this->linksMutex);
            open = this->links;
        }
        for (const auto& [address, link] : open) {
            const auto expired = takeExpired(*link, now);
            if (expired.empty())
                continue;
            this->counters.timeouts += expired.size();
            this->dropLink(address, link);
            for (const auto& callback : expired)
                callback(tl::unexpected(PeerError::Timeout));
        }
    }

    static std::vector<PeerCallback> takeExpired(Link& link, std::chrono::steady_clock::time_point now)
    {
        const std::lock_guard lock(link.mutex);
        std::vector<PeerCallback> expired;
        for (auto call = link.pending.begin(); call != link.pending.end();) {
            if (call->second.deadline > now) {
                ++call;
                continue;
            }
            expired.push_back(std::move(call->second.callback));
            call = link.pending.erase(call);
        }
        return expired;
    }

    void dropLink(const std::string& address, const std::shared_ptr<Link>& link)
    {
        link->session->close();
        const std::lock_guard lock(this->linksMutex);
        if (const auto found = this->links.find(address); found != this->links.end() && found->second == link)
            this->links.erase(found);
    }

    asio::io_context context;
    Tcp::acceptor acceptor { this->context };
    asio::steady_timer sweepTimer { this->context };
    PeerHandler handler;
    Counters counters;
    std::atomic<std::uint64_t> nextId = 1;
    std::mutex linksMutex;
    std::map<std::string, std::shared_ptr<Link>> links;
    std::vector<std::thread> threads;
};

PeerTransport::PeerTransport(std::unique_ptr<State> running)
    : state(std::move(running))
{
}

PeerTransport::PeerTransport(PeerTransport&&) noexcept = default;

PeerTransport::~PeerTransport()
{
    if (this->state)
        this->stop();
}

tl::expected<PeerTransport, std::string> PeerTransport::start(const std::string& address, PeerHandler handler)
{
    auto state = std::make_unique<State>(std::move(handler));
    ErrorCode error;
    const auto endpoint = endpointOf(address);
    state->acceptor.open(endpoint.protocol(), error);
    state->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    state->acceptor.bind(endpoint, error);
    if (!error)
        state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected("cannot listen on " + address + ": " + error.message());
    state->accept();
    state->sweep();
    for (std::size_t i = 0; i < transportThreads; ++i)
        state->threads.emplace_back([context = &state->context] { context->run(); });
    return PeerTransport(std::move(state));
}

PeerResult PeerTransport::call(const std::string& address, const PeerMessage& request, Duration timeout)
{
    const auto promise = std::make_shared<std::promise<PeerResult>>();
    auto future = promise->get_future();
    this->callAsync(address, request, timeout, [promise](PeerResult result) { promise->set_value(std::move(result)); });
    // The sweep fails the call shortly after the deadline; a stopped transport never completes it.
    if (future.wait_for(timeout + 10 * sweepInterval) != std::future_status::ready)
        return tl::unexpected(PeerError::Timeout);
    return future.get();
}

void PeerTransport::callAsync(const std::string& address, const PeerMessage& request, Duration timeout, PeerCallback callback)
{
    const auto link = this->state->linkTo(address);
    const auto id = this->state->nextId++;
    {
        std::unique_lock lock(link->mutex);
        if (link->closed) {
            lock.unlock();
            callback(tl::unexpected(PeerError::Unreachable));
            return;
        }
        link->pending[id] = { std::move(callback), std::chrono::steady_clock::now() + timeout };
    }
    if (link->session->send({ id, false, request.kind, request.payload }))
        return;
    if (const auto pending = State::takeCallback(*link, id))
        pending(tl::unexpected(PeerError::Overloaded));
}

void PeerTransport::post(const std::string& address, const PeerMessage& message)
{
    this->state->linkTo(address)->session->send({ 0, false, message.kind, message.payload });
}

PeerTraffic PeerTransport::traffic() const
{
    const auto& counters = this->state->counters;
    return { counters.framesSent, counters.bytesSent, counters.framesReceived, counters.bytesReceived, counters.timeouts };
}

void PeerTransport::stop()
{
    this->state->context.stop();
    for (auto& thread : this->state->threads)
        thread.join();
    this->state->threads.clear();
}

} // namespace goldcrestwood
