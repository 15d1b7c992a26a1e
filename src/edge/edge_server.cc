#include "edge/edge_server.h"

#include <array>
#include <csignal>
#include <iostream>

#include <nlohmann/json.hpp>

#include "daemon/clock.h"
#include "daemon/framing.h"
#include "edge/beliefs.h"
#include "edge/log.h"
#include "edge/loop_watch.h"
#include "edge/request_parser.h"
#include "goldcrestwood/log_position.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace goldcrestwood {

namespace {

    /// Every daemon serves its metrics and state on this port of the machine's own address.
    constexpr const char* metricsPort = "9464";
    constexpr const char* metricsPath = "/metrics";
    constexpr const char* statePath = "/state";
    /// Lifetime of a directory answer: short enough that callers soon leave a stopped daemon, long enough to limit queries.
    constexpr Duration directoryLifetime = std::chrono::seconds(2);
    constexpr Duration controlIdleTimeout = std::chrono::seconds(15);
    /// Control calls have no body; heads have the parser's own limit of 8 KiB, and what must be buffered whole has the buffer's.
    constexpr std::uint64_t maxControlBodyBytes = 4096;
    constexpr std::size_t maxControlBufferBytes = 12U << 10U;
    constexpr Duration sweepInterval = std::chrono::milliseconds(50);
    /// Callers still connect after SIGTERM until their directory answer expires.
    constexpr Duration minStopTime = std::chrono::milliseconds(2500);
    /// Delay after SIGTERM before idle connections are closed; callers with an old directory answer open new ones.
    constexpr Duration idleCloseDelay = std::chrono::milliseconds(300);
    /// The process exits this long before SIGKILL.
    constexpr Duration stopMargin = std::chrono::milliseconds(400);
    /// Time for the last answers to be written.
    constexpr Duration lastAnswersTime = std::chrono::milliseconds(300);

    /// Pause between registry reads: upstreams write all the time, so records are read in batches.
    constexpr Duration registryPause = std::chrono::milliseconds(100);
    /// The same at a site with a few feed readers, where forwarding a change to the other daemons takes longer than this.
    constexpr Duration sharedRegistryPause = std::chrono::milliseconds(250);
    /// Pause of a daemon that is not a feed reader, while no reader answers.
    constexpr Duration fallbackRegistryPause = std::chrono::milliseconds(1000);

    Duration operatorReadPause(const EdgeState& /*state*/)
    {
        return Duration(0);
    }

    Duration registryReadPause(const EdgeState& state)
    {
        if (!state.isSiteKnown || !state.readerRank())
            return fallbackRegistryPause;
        return state.aggregators.isMesh() ? registryPause : sharedRegistryPause;
    }

    /// Pause after a connection could not be accepted, for lack of descriptors.
    constexpr Duration acceptPause = std::chrono::milliseconds(20);

    /// Tells a caller that requests are in progress on all connections, and closes the connection. Its request was not read, so it has not run.
    void refuseConnection(tcp::socket socket)
    {
        static constexpr std::string_view answer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        edge::log(edge::LogClass::Decision, "connection_refused", { { "reason", "requests are in progress on all connections" } });
        ErrorCode ignored; // A caller that has left needs no answer.
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(answer), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        // Unread bytes at the close would reset the connection, and the answer with it.
        std::array<char, 16384> unread {};
        socket.read_some(asio::buffer(unread), ignored);
    }

    /// An exception ends only the connection that it came from.
    void logFailure(const std::exception_ptr& failure)
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        edge::log(edge::LogClass::Decision, "connection_failed", { { "reason", std::string(error.what()) } });
    }

    /// A control call is decided by its target. Its other fields are not stored: each is an allocation of its own.
    struct KeepFraming {
        FieldAction operator()(http::field name, beast::string_view /*nameText*/, beast::string_view /*value*/) const
        {
            return name == http::field::content_length || name == http::field::transfer_encoding ? FieldAction::Store : FieldAction::Drop;
        }
    };

    std::string queryField(const std::string& target, const std::string& name)
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return {};
        std::size_t begin = question + 1;
        while (begin < target.size()) {
            const auto end = std::min(target.find('&', begin), target.size());
            const auto field = target.substr(begin, end - begin);
            if (field.starts_with(name + "="))
                return field.substr(name.size() + 1);
            begin = end + 1;
        }
        return {};
    }

} // namespace

EdgeServer::EdgeServer(asio::io_context& ioContext, EdgeSettings settings, std::uint64_t seed)
    : loop(ioContext)
    , state(std::move(settings), seed)
    , pool(ioContext.get_executor())
    , queues(this->state)
    , crashes(this->state, this->pool, ioContext.get_executor())
    , pipeline(this->state, this->pool, this->queues, this->crashes)
    , sessions(this->state, this->pipeline)
    , operatorReader(this->state, ioContext.get_executor(), platform::operatorTopic, this->state.operatorFeed, this->state.operatorContact, &applyOperatorRecords, &operatorReadPause)
    , registryReader(this->state, ioContext.get_executor(), platform::registryTopic, this->state.registryFeed, this->state.registryContact, &applyRegistryRecords, &registryReadPause)
    , peers(this->state, ioContext.get_executor(), this->queues)
    , feeds(this->state, ioContext.get_executor(), this->queues, this->peers, this->operatorReader, this->registryReader)
    , duty(this->state, ioContext.get_executor(), this->queues, this->peers)
    , rollouts(this->state, ioContext.get_executor())
    , cacheWatch(this->state, ioContext.get_executor())
    , clientConnections(this->state.connections.clients)
    , readyConnections(this->state.connections.control)
    , directoryConnections(this->state.connections.control)
    , metricsConnections(this->state.connections.control)
    , front(ioContext)
    , ready(ioContext)
    , directory(ioContext)
    , metrics(ioContext)
    , signals(ioContext, SIGTERM, SIGINT, SIGHUP)
{
}

tcp::acceptor EdgeServer::listen(const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        throw boost::system::system_error(asio::error::invalid_argument, "listen on '" + address + "'");
    tcp::acceptor acceptor(this->loop, tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(*endpoint);
    constexpr int backlog = 1024;
    acceptor.listen(backlog);
    return acceptor;
}

void EdgeServer::start()
{
    this->front = this->listen(this->state.settings.frontAddress);
    this->ready = this->listen(this->state.settings.readyAddress);
    this->directory = this->listen(this->state.settings.directoryAddress);
    this->metrics = this->listen(this->state.settings.ip + ":" + metricsPort);
    this->peers.start();
    this->feeds.start();
    const auto spawn = [&](Task<> task) {
        asio::co_spawn(this->loop, std::move(task), [](const std::exception_ptr& error) {
            if (error)
                std::rethrow_exception(error);
        });
    };
    spawn(this->acceptClients());
    spawn(this->acceptControl(this->ready, this->readyConnections));
    spawn(this->acceptControl(this->directory, this->directoryConnections));
    spawn(this->acceptControl(this->metrics, this->metricsConnections));
    spawn(this->operatorReader.run());
    spawn(this->registryReader.run());
    spawn(this->peers.sendDatagrams());
    spawn(this->peers.receiveDatagrams());
    spawn(this->feeds.acceptQueries());
    spawn(this->feeds.catchUp());
    spawn(this->feeds.queryReaders());
    spawn(this->feeds.keepRemovals());
    spawn(this->duty.run());
    if (this->state.usage) {
        spawn(this->duty.usageReports().exchangeCounts());
        spawn(this->duty.usageReports().sendReports());
    }
    if (this->state.settings.duties.scalesReplicas)
        spawn(this->duty.replicaRequests().run());
    spawn(this->rollouts.run());
    spawn(this->cacheWatch.run());
    spawn(this->crashes.run());
    spawn(this->watchSignals());
    spawn(this->sweep());
    spawn(watchLoop(this->state, this->loop.get_executor()));
    edge::log(edge::LogClass::Lifecycle, "started",
        { { "front", this->state.settings.frontAddress }, { "domain", this->state.settings.domain.value }, { "store", this->state.settings.storeAddress } });
}

Task<> EdgeServer::acceptClients()
{
    asio::steady_timer pause(this->loop);
    while (true) {
        ErrorCode error;
        auto socket = co_await this->front.async_accept(into(error));
        if (!error) {
            if (auto place = this->clientConnections.admit(monotonicNow()))
                asio::co_spawn(this->loop, this->sessions.serve(std::move(socket), std::move(place)), &logFailure);
            else
                refuseConnection(std::move(socket));
            continue;
        }
        if (error == asio::error::operation_aborted)
            co_return;
        // Out of file descriptors: closing connections free some.
        edge::log(edge::LogClass::Decision, "accept_failed", { { "reason", error.message() } });
        pause.expires_after(acceptPause);
        co_await pause.async_wait(into(error));
    }
}

Task<> EdgeServer::acceptControl(tcp::acceptor& acceptor, ConnectionLimit& limit)
{
    asio::steady_timer pause(this->loop);
    while (acceptor.is_open()) {
        ErrorCode error;
        auto socket = co_await acceptor.async_accept(into(error));
        if (!error) {
            // Control calls are answered at once, so a connection always gets the place of another.
            if (auto place = limit.admit(monotonicNow()))
                asio::co_spawn(this->loop, this->serveControl(std::move(socket), std::move(place)), asio::detached);
            continue;
        }
        pause.expires_after(acceptPause);
        co_await pause.async_wait(into(error));
    }
}

Task<> EdgeServer::serveControl(tcp::socket socket, std::unique_ptr<ConnectionLimit::Entry> place)
{
    ErrorCode error;
    const auto caller = socket.remote_endpoint(error).address().to_string();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(maxControlBufferBytes);
    place->onEvicted([&stream] {
        ErrorCode ignored;
        stream.socket().close(ignored);
    });
    while (!error) {
        place->waits(monotonicNow());
        RequestParser parser { KeepFraming {} };
        parser.body_limit(maxControlBodyBytes);
        stream.expires_after(controlIdleTimeout);
        co_await http::async_read(stream, buffer, parser, into(error));
        if (error == http::error::body_limit || error == http::error::buffer_overflow || error == http::error::header_limit) {
            edge::log(edge::LogClass::Decision, "control_call_refused", { { "caller", caller }, { "reason", error.message() } });
            this->state.metrics.count("goldcrest_control_calls_refused_total");
        }
        const auto& request = parser.get();
        if (error || framingFault(request, request.version(), parser.chunked()) != FramingFault::None)
            break;
        auto response = this->answerControl(request, parser.keepsAlive(), caller);
        co_await http::async_write(stream, response, into(error));
        if (!response.keep_alive())
            break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, error);
}

http::response<http::string_body> EdgeServer::answerControl(const http::request<http::string_body>& request, bool keepsAlive, const std::string& caller)
{
    http::response<http::string_body> response { http::status::ok, 11 };
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    if (path == platform::readyPath) {
        response.result(this->state.isReady() ? http::status::ok : http::status::service_unavailable);
    } else if (path == platform::resolvePath) {
        response.set(http::field::content_type, "application/json");
        response.body() = this->directoryAnswer(target, caller);
        if (response.body().empty())
            response.result(http::status::service_unavailable);
    } else if (path == metricsPath) {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        this->state.metrics.set("goldcrest_log_lines_dropped", "", static_cast<double>(edge::droppedLines()));
        this->state.metrics.set("goldcrest_transfer_memory_bytes", "", static_cast<double>(this->state.transferMemory.used()));
        this->state.metrics.set("goldcrest_answers_given_up", "", static_cast<double>(this->state.transferMemory.evictions()));
        this->state.metrics.set("goldcrest_placement_error", "", this->state.reportPace.error(monotonicNow()));
        this->showConnections("front", this->clientConnections);
        this->showConnections("ready", this->readyConnections);
        this->showConnections("directory", this->directoryConnections);
        this->showConnections("metrics", this->metricsConnections);
        this->showConnections("peers", this->feeds.connections());
        this->state.metrics.set("goldcrest_request_memory_bytes", "", static_cast<double>(this->state.requestMemory.used()));
        response.body() = this->state.metrics.prometheusText();
    } else if (path == statePath) {
        response.set(http::field::content_type, "application/json");
        response.body() = this->stateDump();
    } else {
        response.result(http::status::not_found);
    }
    response.keep_alive(keepsAlive);
    response.prepare_payload();
    return response;
}

void EdgeServer::showConnections(const char* listener, const ConnectionLimit& limit)
{
    const auto label = std::string("listener=\"") + listener + "\"";
    this->state.metrics.set("goldcrest_connections", label, static_cast<double>(limit.size()));
    this->state.metrics.set("goldcrest_connections_closed_for_new", label, static_cast<double>(limit.evictions()));
    this->state.metrics.set("goldcrest_connections_refused", label, static_cast<double>(limit.refusals()));
}

std::string EdgeServer::directoryAnswer(const std::string& target, const std::string& caller)
{
    const auto addresses = this->peers.frontsFor(caller, FailureDomain(queryField(target, "zone")));
    if (addresses.empty())
        return {};
    return platform::encodeDirectoryAnswer(addresses, std::min(directoryLifetime, this->state.settings.bounds.maxDirectoryLifetime));
}

std::string EdgeServer::stateDump() const
{
    nlohmann::ordered_json dump;
    dump["instance"] = this->state.settings.instance.value;
    dump["ready"] = this->state.isReady();
    dump["stopping"] = this->state.isStopping;
    dump["configuration"] = this->state.routes ? this->state.routes->configuration().version : 0;
    dump["operator_end"] = logOffset(this->state.operatorFeed.end());
    dump["registry_end"] = logOffset(this->state.registryFeed.end());
    dump["store_era"] = logEra(this->state.operatorFeed.end());
    dump["reads_store"] = this->state.readsStore();
    dump["active_requests"] = this->sessions.active();
    dump["waiting_requests"] = this->queues.waitingCount();
    this->state.board.forEach([&](const RegistryEntry& entry) {
        dump["upstreams"][entry.id.value] = { { "service", entry.service.value }, { "address", entry.address }, { "draining", entry.isDraining },
            { "leaving", this->state.board.isLeaving(entry.id) }, { "rests_ms", toMs(this->state.board.backoffRemaining(entry.id, monotonicNow())) } };
    });
    const auto now = monotonicNow();
    for (const auto& [part, left] : this->state.crashSuspects.quarantined(now))
        dump["quarantined_parts"][part] = { { "left_ms", toMs(left) } };
    for (const auto& [service, rollout] : this->state.rollouts) {
        auto& shown = dump["rollouts"][service.value];
        shown = { { "target", rollout.order().target }, { "witnessed", rollout.isOrderTimeKnown() }, { "approved", rollout.isApproved() },
            { "reverted", rollout.isReverted() }, { "taken_over", rollout.hasTakenOver(now) } };
        for (const auto& outcomes : rollout.evidence())
            shown["evidence"].push_back(nlohmann::ordered_json(nlohmann::json(outcomes)));
    }
    for (const auto* report : this->peers.view().live(now))
        dump["daemons"][report->heartbeat.instance.value] = nlohmann::json(report->heartbeat);
    // Names of upstreams come from the registry and may be no valid text.
    return dump.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

Task<> EdgeServer::watchSignals()
{
    while (true) {
        ErrorCode error;
        const int number = co_await this->signals.async_wait(into(error));
        if (error)
            co_return;
        if (number == SIGHUP) {
            // Settings are read at start only; they define the process's addresses.
            edge::log(edge::LogClass::Lifecycle, "reload", { { "changed", false } });
            continue;
        }
        if (this->state.isStopping)
            this->loop.stop();
        else
            asio::co_spawn(this->loop, this->stop(), asio::detached);
    }
}

Task<> EdgeServer::stop()
{
    edge::log(edge::LogClass::Lifecycle, "stopping", { { "active", static_cast<std::int64_t>(this->sessions.active()) } });
    this->state.isStopping = true;
    this->peers.announce();
    const auto begun = monotonicNow();
    const auto last = begun + this->state.settings.bounds.shutdownGrace - stopMargin;
    this->state.stopTimes = EdgeState::StopTimes { last - lastAnswersTime, begun + minStopTime };
    asio::steady_timer timer(this->loop);
    ErrorCode ignored;
    while (monotonicNow() < last && (this->sessions.active() > 0 || monotonicNow() - begun < minStopTime)) {
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(into(ignored));
        if (monotonicNow() - begun >= idleCloseDelay)
            this->sessions.closeIdle();
        if (monotonicNow() >= this->state.stopTimes->answersEnd)
            this->sessions.endActive();
        // A later request could not be answered before the process exits.
        if (monotonicNow() - begun >= minStopTime)
            this->front.close(ignored);
    }
    edge::log(edge::LogClass::Lifecycle, "stopped", { { "active", static_cast<std::int64_t>(this->sessions.active()) } });
    this->loop.stop();
}

Task<> EdgeServer::sweep()
{
    asio::steady_timer timer(this->loop);
    while (true) {
        timer.expires_after(sweepInterval);
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
        this->pool.sweep(monotonicNow());
        for (const auto& address : this->state.board.leavingAddresses())
            this->pool.close(address);
        removeExpiredUpstreams(this->state, monotonicNow());
        this->queues.dispatchAll();
    }
}

} // namespace goldcrestwood
