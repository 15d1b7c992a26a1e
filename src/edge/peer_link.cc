#include "edge/peer_link.h"

#include <algorithm>
#include <set>

#include "daemon/clock.h"
#include "edge/beliefs.h"
#include "edge/log.h"

namespace goldcrestwood {

namespace {

    /// Interval of load reports; placement works with other daemons' load of up to this age.
    constexpr Duration reportInterval = std::chrono::milliseconds(200);
    /// The same at a large site, where load information takes two hops through an aggregator.
    constexpr Duration digestInterval = std::chrono::milliseconds(250);
    /// The site counts as known when no new daemon was heard of for this long, which exceeds the query interval of a reader;
    /// at the latest after maxDiscoveryTime.
    constexpr Duration discoveryQuietTime = std::chrono::milliseconds(900);
    constexpr Duration maxDiscoveryTime = std::chrono::milliseconds(5000);
    /// Larger datagrams are fragmented more and lost more often.
    constexpr std::size_t maxDatagramBytes = 8192;
    /// Maximum number of peer addresses in one heartbeat.
    constexpr std::size_t maxSentAddresses = 12;
    /// Maximum number of target weights of one model in one heartbeat.
    constexpr std::size_t maxSentTargets = 8;
    /// Weight of the last interval in the request rate.
    constexpr double rateWeight = 0.5;
    constexpr Duration rateInterval = std::chrono::seconds(1);

} // namespace

PeerLink::PeerLink(EdgeState& edgeState, const asio::any_io_executor& loop, ServiceQueues& serviceQueues)
    : state(edgeState)
    , executor(loop)
    , queues(serviceQueues)
    , datagrams(loop)
    , addresses(edgeState.settings.seeds)
    , started(monotonicNow())
    , rateMeasured(started)
{
}

void PeerLink::start()
{
    const auto endpoint = parseEndpoint(this->state.settings.peerAddress).value();
    this->datagrams.open(udp::v4());
    this->datagrams.bind(udp::endpoint(endpoint.address(), endpoint.port()));
}

void PeerLink::learnAddress(const std::string& address, TimePoint now)
{
    if (address != this->state.settings.peerAddress && parseEndpoint(address))
        this->addresses.onHeard(address, now);
}

bool PeerLink::isMesh() const
{
    return followsEngines(this->siteSize());
}

Duration PeerLink::heartbeatInterval() const
{
    return HeartbeatPace {}.interval(this->isMesh(), monotonicNow() - this->started);
}

EdgeHeartbeat PeerLink::describeSelf() const
{
    EdgeHeartbeat message;
    message.instance = this->state.settings.instance;
    message.incarnation = this->state.incarnation;
    message.sequence = this->sequence;
    message.intervalMs = static_cast<std::uint32_t>(this->heartbeatInterval() / std::chrono::milliseconds(1));
    message.domain = this->state.settings.domain;
    message.frontAddress = this->state.settings.frontAddress;
    message.peerAddress = this->state.settings.peerAddress;
    message.isReady = this->state.isReady();
    message.capacity = capacityOf(this->state.settings);
    message.requestRate = this->requestRate;
    message.readsStore = this->state.readsStore();
    message.operatorEnd = this->state.operatorFeed.end();
    message.registryEnd = this->state.registryFeed.end();
    if (this->state.adaptsReplicas()) {
        message.waiting.emplace();
        for (const auto& service : this->state.routes->configuration().services)
            if (service.autoscale)
                message.waiting->push_back({ service.name, static_cast<std::uint32_t>(this->queues.waitingCount(service.name)) });
    }
    return message;
}

EdgeHeartbeat PeerLink::makeHeartbeat(bool wantsReply)
{
    ++this->sequence;
    auto message = this->describeSelf();
    message.wantsReply = wantsReply;
    const auto now = monotonicNow();
    for (const auto& [model, targets] : this->state.weightTargets)
        for (const auto& target : targets.withKnownTime(maxSentTargets))
            message.weights.push_back({ model, target.version, static_cast<std::uint64_t>((now - target.since) / std::chrono::milliseconds(1)), target.replaces });
    for (const auto& [service, rollout] : this->state.rollouts)
        message.rollouts.push_back(rollout.notice(now));
    auto live = this->daemons.live(now);
    std::shuffle(live.begin(), live.end(), this->state.random);
    for (const auto* report : live)
        if (message.peers.size() < maxSentAddresses)
            message.peers.push_back(report->heartbeat.peerAddress);
    return message;
}

std::string PeerLink::addressOf(const InstanceId& instance) const
{
    for (const auto* report : this->daemons.all())
        if (report->heartbeat.instance == instance)
            return report->heartbeat.peerAddress;
    return {};
}

std::vector<std::string> PeerLink::heartbeatTargets()
{
    if (this->isMesh())
        return this->addresses.all();
    std::vector<std::string> targets;
    for (const auto& reader : this->state.feedReaders)
        if (auto address = this->addressOf(reader); !address.empty())
            targets.push_back(std::move(address));
    // A daemon that does not know the site or any reader uses the seeds. One random address of all known ones heals a partitioned site.
    if (!this->state.isSiteKnown || targets.empty())
        targets.insert(targets.end(), this->state.settings.seeds.begin(), this->state.settings.seeds.end());
    if (const auto all = this->addresses.all(); !all.empty())
        targets.push_back(all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(this->state.random)]);
    std::erase(targets, this->state.settings.peerAddress);
    return targets;
}

void PeerLink::addReports(std::map<std::string, PeerDatagram>& result)
{
    LoadReport report;
    report.uses = this->state.board.ownUses();
    report.upstreams = this->state.board.takeUpstreamOutcomes();
    report.sources = this->state.board.takeSourceSamples();
    report.paces = this->state.board.recentPaces([](const auto&) { return true; }, false, monotonicNow());
    const bool hasWork = !report.uses.empty() || !report.upstreams.empty() || !report.sources.empty() || !report.paces.empty();
    // Send one empty report, so that the aggregators learn that no work is left. A reader without work may need their sums all the same.
    const bool needsSums = !this->isMesh() && this->state.readerRank() && this->state.adaptsReplicas();
    if (!hasWork && !this->hadLoad && !needsSums)
        return;
    this->hadLoad = hasWork;
    for (auto& [aggregator, part] : this->state.aggregators.split(this->state.settings.instance, report))
        if (const auto address = this->addressOf(aggregator); !address.empty())
            result[address].report = std::move(part);
}

void PeerLink::sendCrashNotice()
{
    PeerDatagram datagram;
    datagram.crashes = this->state.crashSuspects.notice(false, monotonicNow());
    if (!datagram.crashes)
        return;
    for (const auto& address : this->heartbeatTargets())
        if (const auto endpoint = parseEndpoint(address))
            this->send(datagram, udp::endpoint(endpoint->address(), endpoint->port()));
}

void PeerLink::sendLimitNotice(bool isNew)
{
    // At a large site only the feed readers hear the other daemons, and they pass on new limits at once.
    const bool isForwarding = isNew && !this->isMesh() && this->state.readerRank();
    PeerDatagram datagram;
    datagram.limits = this->state.board.limitNotice(isForwarding, monotonicNow());
    if (!datagram.limits)
        return;
    auto targets = this->heartbeatTargets();
    if (isForwarding)
        for (const auto* report : this->daemons.live(monotonicNow()))
            targets.push_back(report->heartbeat.peerAddress);
    for (const auto& address : std::set<std::string>(targets.begin(), targets.end()))
        if (const auto endpoint = parseEndpoint(address))
            this->send(datagram, udp::endpoint(endpoint->address(), endpoint->port()));
}

Duration PeerLink::usualReportInterval() const
{
    return std::min<Duration>(this->isMesh() ? reportInterval : digestInterval, this->heartbeatInterval());
}

bool PeerLink::isReportDue(TimePoint now)
{
    const auto usual = this->usualReportInterval();
    // The pause varies by a tenth, so that a report after three quarters of the interval is a usual one.
    return now - this->lastReport >= usual * 3 / 4 || this->state.reportPace.takeBytes(this->reportBytes, now);
}

std::map<std::string, PeerDatagram> PeerLink::makeDatagrams(bool withHeartbeat, bool withReports)
{
    std::map<std::string, PeerDatagram> result;
    if (withHeartbeat) {
        const auto message = this->makeHeartbeat(!this->isMesh() || !this->state.isSiteKnown);
        for (const auto& address : this->heartbeatTargets())
            result[address].heartbeat = message;
    }
    if (withReports)
        this->addReports(result);
    return result;
}

void PeerLink::send(const PeerDatagram& datagram, const udp::endpoint& target)
{
    this->sendBytes(encodeBounded(datagram, maxDatagramBytes), target);
}

void PeerLink::sendBytes(const std::string& bytes, const udp::endpoint& target)
{
    ErrorCode ignored; // A datagram may be lost anyway; the next one follows.
    this->datagrams.send_to(asio::buffer(bytes), target, 0, ignored);
}

void PeerLink::sendTo(const InstanceId& instance, const PeerDatagram& datagram)
{
    if (const auto endpoint = instance == this->state.settings.instance ? std::nullopt : parseEndpoint(this->addressOf(instance)))
        this->send(datagram, udp::endpoint(endpoint->address(), endpoint->port()));
}

void PeerLink::announce()
{
    for (const auto& [address, datagram] : this->makeDatagrams(true, true))
        if (const auto endpoint = parseEndpoint(address))
            this->send(datagram, udp::endpoint(endpoint->address(), endpoint->port()));
}

void PeerLink::updateRequestRate(TimePoint now)
{
    if (now - this->rateMeasured < rateInterval)
        return;
    const auto rate = static_cast<double>(this->state.requestCount - this->requestsMeasured) / toSeconds(now - this->rateMeasured);
    this->requestRate = this->requestRate * (1 - rateWeight) + rate * rateWeight;
    this->rateMeasured = now;
    this->requestsMeasured = this->state.requestCount;
}

void PeerLink::refreshView(TimePoint now)
{
    this->daemons.sweep(now);
    this->addresses.sweep(now);
    const bool isQuiet = now - std::max(this->daemons.lastArrival(), this->started) >= discoveryQuietTime;
    if (!this->state.isSiteKnown && (isQuiet || now - this->started >= maxDiscoveryTime)) {
        this->state.isSiteKnown = true;
        this->state.board.setWholeSiteKnown();
        edge::log(edge::LogClass::Lifecycle, "site_known",
            { { "daemons", static_cast<std::int64_t>(this->siteSize()) }, { "after_ms", toMs(now - this->started) } });
    }
    this->chooseReaders(now);
    this->updateStoreOutage(now);
    auto all = this->daemons.instances();
    all.push_back({ this->state.settings.instance, capacityOf(this->state.settings) });
    std::erase_if(this->lastDigests, [&](const auto& entry) { return std::none_of(all.begin(), all.end(), [&](const auto& daemon) { return daemon.instance == entry.first; }); });
    this->state.board.setDaemons(std::move(all));
    this->state.sendBudgets.setDaemons(this->siteSize());
}

Task<> PeerLink::sendDatagrams()
{
    asio::steady_timer timer(this->executor);
    TimePoint lastHeartbeat;
    while (true) {
        const auto now = monotonicNow();
        this->updateRequestRate(now);
        const bool isDue = now - lastHeartbeat >= this->heartbeatInterval();
        if (isDue) {
            lastHeartbeat = now;
            this->refreshView(now);
        }
        const bool withReports = this->isReportDue(now);
        std::size_t sentBytes = 0;
        for (const auto& [address, datagram] : this->makeDatagrams(isDue, withReports))
            if (const auto endpoint = parseEndpoint(address)) {
                const auto bytes = encodeBounded(datagram, maxDatagramBytes);
                sentBytes += bytes.size();
                this->sendBytes(bytes, udp::endpoint(endpoint->address(), endpoint->port()));
            }
        if (withReports) {
            this->lastReport = now;
            this->reportBytes = sentBytes;
        }
        const bool hasCrashNews = this->state.crashSuspects.takeNews();
        if (isDue || hasCrashNews)
            this->sendCrashNotice();
        const bool hasLimitNews = this->state.board.takeLimitNews();
        if (isDue || hasLimitNews)
            this->sendLimitNotice(hasLimitNews);
        // In a mesh every daemon hears every other one directly, and knows the load of the engines from their own cache events.
        const auto usual = this->usualReportInterval();
        const auto pause = this->isMesh() ? usual : this->state.reportPace.interval(usual, monotonicNow());
        timer.expires_after(std::chrono::duration_cast<Duration>(pause * (0.9 + 0.2 * uniform(this->state.random))));
        ErrorCode ignored;
        co_await timer.async_wait(into(ignored));
    }
}

Task<> PeerLink::receiveDatagrams()
{
    std::string buffer(maxDatagramBytes, '\0');
    while (true) {
        udp::endpoint sender;
        ErrorCode error;
        const auto size = co_await this->datagrams.async_receive_from(asio::buffer(buffer), sender, into(error));
        if (error)
            continue; // For example an ICMP error for a port that a peer has just closed.
        const auto message = decode<PeerDatagram>(std::string_view(buffer.data(), size));
        if (message)
            this->onDatagram(*message, sender);
        else
            edge::log(edge::LogClass::Decision, "datagram_rejected",
                { { "peer", sender.address().to_string() }, { "bytes", static_cast<std::int64_t>(size) }, { "reason", message.error().message } });
    }
}

void PeerLink::onDatagram(const PeerDatagram& datagram, const udp::endpoint& sender)
{
    if (datagram.heartbeat)
        this->onHeartbeat(*datagram.heartbeat, sender);
    if (datagram.report)
        this->onReport(*datagram.report, sender);
    if (datagram.digest)
        this->onDigest(*datagram.digest);
    if (datagram.crashes)
        this->state.crashSuspects.onNotice(*datagram.crashes, monotonicNow());
    if (datagram.limits)
        applyPeerLimits(this->state, *datagram.limits);
    if (datagram.usage)
        applyUsageNotice(this->state, *datagram.usage);
    this->queues.dispatchAll();
}

void PeerLink::onHeartbeat(const EdgeHeartbeat& message, const udp::endpoint& sender)
{
    const auto now = monotonicNow();
    if (message.instance == this->state.settings.instance || !this->daemons.onHeartbeat(message, now))
        return;
    // Include a new peer at once, so that the next load report reaches it and its load counts.
    if (this->daemons.lastArrival() == now && this->isMesh())
        this->refreshView(now);
    this->learnAddress(message.peerAddress, now);
    for (const auto& address : message.peers)
        this->learnAddress(address, now);
    for (const auto& report : message.weights)
        applyWeightsAge(this->state, message.instance, report, now);
    for (const auto& notice : message.rollouts)
        if (auto* rollout = this->state.rolloutOf(notice.service))
            rollout->onNotice(message.instance, message.incarnation, notice, now);
    if (message.wantsReply)
        this->sendHeartbeat(sender);
}

void PeerLink::sendHeartbeat(const udp::endpoint& target)
{
    PeerDatagram datagram;
    datagram.heartbeat = this->makeHeartbeat(false);
    this->send(datagram, target);
}

void PeerLink::onReport(const LoadReport& report, const udp::endpoint& sender)
{
    const auto now = monotonicNow();
    this->state.board.onPeerUse(report.instance, report.uses, now);
    this->state.board.onPeerOutcomes(report.upstreams, report.sources, now);
    this->state.board.onPeerPaces(report.paces, now);
    if (!report.wantsDigest)
        return;
    const auto& self = this->state.settings.instance;
    const auto isAggregated = [&](const UpstreamId& id) { return this->state.aggregators.aggregates(self, id.value); };
    PeerDatagram answer;
    answer.digest = LoadDigest { self, this->state.board.loadsFor(report.instance, isAggregated, now), this->state.board.slowSources(now), this->state.board.recentPaces(isAggregated, true, now) };
    const auto bytes = encodeBounded(answer, maxDatagramBytes);
    // The answers to daemons that report more often than usual must leave this machine's link to its callers.
    auto& last = this->lastDigests[report.instance];
    if (now - last < this->usualReportInterval() * 3 / 4 && !this->state.reportPace.takeBytes(bytes.size(), now))
        return;
    last = now;
    this->sendBytes(bytes, sender);
}

void PeerLink::onDigest(const LoadDigest& digest)
{
    const auto now = monotonicNow();
    const auto isAggregated = [&](const UpstreamId& id) { return this->state.aggregators.aggregates(this->state.settings.instance, id.value); };
    this->state.board.onAggregatorLoad(digest.keeper, digest.loads, now, isAggregated);
    this->state.board.onPeerOutcomes({}, digest.sources, now);
    this->state.board.onPeerPaces(digest.paces, now);
}

void PeerLink::onNews(const DaemonNews& news, bool isFromReader)
{
    const auto now = monotonicNow();
    auto others = news;
    std::erase_if(others.daemons, [&](const auto& notice) { return notice.heartbeat.instance == this->state.settings.instance; });
    for (const auto& notice : others.daemons)
        if (notice.isLive)
            this->learnAddress(notice.heartbeat.peerAddress, now);
    this->daemons.onNews(others, isFromReader, now);
}

DaemonNews PeerLink::newsFor(std::uint64_t source, std::uint64_t from) const
{
    auto news = this->daemons.newsSince(this->state.incarnation, source == this->state.incarnation ? from : 0);
    news.daemons.push_back({ this->describeSelf(), true });
    return news;
}

std::vector<std::string> PeerLink::frontsFor(const std::string& caller, const FailureDomain& domain)
{
    return this->daemons.frontsFor(caller, domain, this->describeSelf(), monotonicNow());
}

void PeerLink::updateStoreOutage(TimePoint now)
{
    // Only feed readers know whether the store is reachable.
    std::size_t reading = 0;
    std::size_t heard = 0;
    const auto count = [&](const EdgeHeartbeat& daemon) {
        const auto& readers = this->state.feedReaders;
        if (std::find(readers.begin(), readers.end(), daemon.instance) == readers.end())
            return;
        ++heard;
        reading += daemon.readsStore ? 1U : 0U;
    };
    for (const auto* report : this->daemons.live(now))
        count(report->heartbeat);
    count(this->describeSelf());
    const bool wasActive = this->state.storeOutage.isActive();
    this->state.storeOutage.onView(reading, heard, now);
    if (this->state.storeOutage.isActive() != wasActive)
        edge::log(edge::LogClass::Lifecycle, wasActive ? "outage_ended" : "outage_began",
            { { "answered_readers", static_cast<std::int64_t>(reading) }, { "readers", static_cast<std::int64_t>(heard) } });
}

void PeerLink::chooseReaders(TimePoint now)
{
    this->state.feedReaders = this->readerChoice.choose(this->daemons, this->describeSelf(), now);
    const bool isReader = this->state.readerRank().has_value();
    if (isReader != this->state.readerSince.has_value() && this->state.isSiteKnown) {
        std::string names;
        for (const auto& reader : this->state.feedReaders)
            names += (names.empty() ? "" : " ") + reader.value;
        edge::log(edge::LogClass::Lifecycle, isReader ? "reads_for_all" : "reads_no_more", { { "readers", names }, { "daemons", static_cast<std::int64_t>(this->siteSize()) } });
    }
    if (!isReader)
        this->state.readerSince.reset();
    else if (!this->state.readerSince)
        this->state.readerSince = now;
    auto aggregators = this->state.feedReaders;
    if (this->isMesh()) {
        aggregators.clear();
        for (const auto& daemon : this->daemons.instances())
            aggregators.push_back(daemon.instance);
        aggregators.push_back(this->state.settings.instance);
    }
    this->state.aggregators = LoadAggregators(std::move(aggregators), this->isMesh());
}

std::string PeerLink::readerAddress(std::size_t failures)
{
    auto readers = this->state.feedReaders;
    // Each feed reader queries the next one in rank, so that what one hears reaches all; other daemons stay with one reader.
    if (const auto rank = this->state.readerRank()) {
        std::rotate(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(*rank), readers.end());
        readers.erase(readers.begin());
    }
    const auto all = this->daemons.instances();
    std::string result;
    for (std::size_t skipped = 0; skipped <= failures && !readers.empty(); ++skipped) {
        const auto reader = this->state.readerRank() ? readers.front() : readerFor(this->state.settings.instance, readers, all);
        result = this->addressOf(reader);
        std::erase(readers, reader);
    }
    const auto& seeds = this->state.settings.seeds;
    if ((result.empty() || !this->state.isSiteKnown) && !seeds.empty())
        result = seeds[std::uniform_int_distribution<std::size_t>(0, seeds.size() - 1)(this->state.random)];
    return result == this->state.settings.peerAddress ? std::string() : result;
}

} // namespace goldcrestwood
