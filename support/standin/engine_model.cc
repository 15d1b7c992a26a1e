#include "engine_model.h"

#include <algorithm>
#include <sstream>

#include <boost/crc.hpp>

#include "standin.h"

#include "goldcrestwood/hash.h"

namespace goldcrestwood::standin {

namespace {

    constexpr double badSlowdown = 10;
    constexpr double overloadedSlowdown = 10;
    constexpr std::size_t maxFinishedRuns = 1024;
    constexpr std::chrono::milliseconds streamWait { 100 };
    constexpr double firstTokenSmoothing = 0.3;

    std::vector<std::string> words(const std::string& text)
    {
        std::istringstream in(text);
        std::vector<std::string> found;
        for (std::string word; in >> word;)
            found.push_back(word);
        return found;
    }

    std::uint64_t chainStart(const EngineOptions& options, const RunRequest& request)
    {
        return stableHash(
            request.account + "\n" + options.service + "\n" + request.version + "\n" + options.tokenizer);
    }

    bool precedes(const Run& left, const Run& right)
    {
        if (left.request.priority != right.request.priority)
            return left.request.priority < right.request.priority;
        return left.arrival < right.arrival;
    }

} // namespace

std::string PromptBlock::pack() const
{
    return this->account + "\n" + this->version + "\n" + toHex(this->previous) + "\n" + this->text;
}

PromptBlock PromptBlock::unpack(const std::string& bytes)
{
    PromptBlock block;
    std::string previous;
    std::istringstream in(bytes);
    std::getline(in, block.account);
    std::getline(in, block.version);
    std::getline(in, previous);
    std::getline(in, block.text);
    block.previous = std::strtoull(previous.c_str(), nullptr, 16);
    block.hash = in.fail() ? 0 : stableHash(block.text, block.previous);
    return block;
}

std::vector<PromptBlock> splitBlocks(const EngineOptions& options, const RunRequest& request)
{
    const auto all = words(request.prompt);
    std::vector<PromptBlock> blocks;
    auto previous = chainStart(options, request);
    for (std::size_t end = options.blockTokens; end <= all.size(); end += options.blockTokens) {
        std::string text;
        for (auto index = end - options.blockTokens; index < end; ++index)
            text += (text.empty() ? "" : " ") + all[index];
        const auto hash = stableHash(text, previous);
        blocks.push_back({ hash, previous, request.account, request.version, text });
        previous = hash;
    }
    return blocks;
}

std::string tokenAt(const RunRequest& request, std::size_t index)
{
    const auto text = request.prompt + "\n" + request.version + "\n" + std::to_string(request.seed) + "\n"
        + std::to_string(index);
    boost::crc_32_type crc;
    crc.process_bytes(text.data(), text.size());
    return toHex(crc.checksum()).substr(8);
}

Engine::Engine(const EngineOptions& engineOptions, std::uint64_t seed)
    : options(engineOptions)
    , events(engineOptions.eventLag)
    , loadedVersion(engineOptions.version)
    , role(engineOptions.role)
    , isCold(engineOptions.warmUpRuns > 0)
    , random(seed)
{
    this->report = this->loadReport();
}

int Engine::submit(const RunRequest& request)
{
    const std::lock_guard guard(this->lock);
    const auto now = std::chrono::steady_clock::now();
    if (this->isLoading || now < this->overloadedUntil || this->waiting.size() >= this->options.maxWaiting)
        return 503;
    if (request.version != this->loadedVersion)
        return 409;
    if (this->isCold && this->openRuns() >= this->options.maxColdRunning) {
        this->overloadedUntil = now + this->options.overloadRefusalTime;
        this->runsWhileCold = 0;
        return 503;
    }
    const bool bad = this->isBad(request);
    ++this->runsOfVersion[request.version];
    if (bad && this->faults.badMode == "fail")
        return 500;
    auto run = std::make_shared<Run>();
    run->request = request;
    run->isSlow = bad;
    run->arrival = ++this->arrivals;
    run->started = now;
    run->blocks = splitBlocks(this->options, request);
    run->promptTokens = words(request.prompt).size();
    this->runs[request.runId] = run;
    this->waiting.push_back(run);
    return 200;
}

bool Engine::waitForTokens(const std::string& runId, std::size_t from, StreamPiece& piece)
{
    std::unique_lock guard(this->lock);
    const auto found = this->runs.find(runId);
    if (found == this->runs.end())
        return false;
    const auto run = found->second;
    const auto first = from > run->request.startToken ? from - run->request.startToken : 0;
    this->progress.wait_for(
        guard, streamWait, [&] { return run->tokens.size() > first || run->state > RunState::Running; });
    if (first < run->tokens.size())
        piece.tokens.assign(run->tokens.begin() + static_cast<std::ptrdiff_t>(first), run->tokens.end());
    else
        piece.tokens.clear();
    piece.state = run->state;
    piece.cachedTokens = run->cachedTokens;
    piece.totalTokens = run->request.startToken + run->tokens.size();
    return true;
}

bool Engine::hasRun(const std::string& runId) const
{
    const std::lock_guard guard(this->lock);
    return this->runs.contains(runId);
}

std::string Engine::requestIdOf(const std::string& runId) const
{
    const std::lock_guard guard(this->lock);
    const auto found = this->runs.find(runId);
    return found == this->runs.end() ? "" : found->second->request.requestId;
}

bool Engine::cancel(const std::string& runId)
{
    const std::lock_guard guard(this->lock);
    const auto found = this->runs.find(runId);
    if (found == this->runs.end())
        return false;
    const auto run = found->second;
    std::erase(this->waiting, run);
    std::erase(this->running, run);
    if (run->state < RunState::Finished)
        this->finish(*run, RunState::Cancelled);
    return true;
}

void Engine::advance(std::chrono::duration<double> elapsed, const EngineFaults& newFaults)
{
    const std::lock_guard guard(this->lock);
    if (newFaults.coldResets != this->faults.coldResets)
        this->resetToCold();
    this->faults = newFaults;
    const auto now = std::chrono::steady_clock::now();
    const auto factor = this->faults.slowdown * (now < this->overloadedUntil ? overloadedSlowdown : 1);
    this->admit();
    this->prefill(this->options.prefillTokensPerSecond * elapsed.count() / factor);
    const auto decodedTokens = this->options.decodeTokensPerSecond * elapsed.count() / factor;
    for (const auto& run : std::vector<RunPointer>(this->running))
        if (run->prefillLeft <= 0)
            this->decode(*run, run->isSlow ? decodedTokens / badSlowdown : decodedTokens);
    std::erase_if(this->running, [](const auto& run) { return run->state != RunState::Running; });
    this->discardOldRuns();
    if (now - this->reported >= this->options.loadLag) {
        this->report = this->loadReport();
        this->reported = now;
    }
    this->progress.notify_all();
}

nlohmann::json Engine::lastLoadReport() const
{
    const std::lock_guard guard(this->lock);
    return this->report;
}

nlohmann::json Engine::counts() const
{
    const std::lock_guard guard(this->lock);
    return { { "runs", this->startedRuns }, { "prompt_tokens", this->promptTokens },
        { "cached_tokens", this->cachedTokens } };
}

bool Engine::acceptFence(std::uint64_t fence)
{
    const std::lock_guard guard(this->lock);
    if (this->options.enforcesFencing && fence < this->newestFence)
        return false;
    this->newestFence = std::max(this->newestFence, fence);
    return true;
}

bool Engine::beginLoad()
{
    const std::lock_guard guard(this->lock);
    return !std::exchange(this->isLoading, true);
}

void Engine::finishLoad(const std::string& version)
{
    const std::lock_guard guard(this->lock);
    this->isLoading = false;
    this->loadedVersion = version;
    this->runsWhileCold = 0;
    this->isCold = this->options.warmUpRuns > 0;
}

std::string Engine::version() const
{
    const std::lock_guard guard(this->lock);
    return this->loadedVersion;
}

void Engine::setRole(const std::string& newRole)
{
    const std::lock_guard guard(this->lock);
    this->role = newRole;
}

void Engine::setAdapter(const std::string& newAdapter)
{
    const std::lock_guard guard(this->lock);
    this->adapter = newAdapter;
}

std::vector<PromptBlock> Engine::findCached(const std::vector<std::uint64_t>& hashes) const
{
    const std::lock_guard guard(this->lock);
    std::vector<PromptBlock> found;
    for (const auto hash : hashes)
        if (const auto block = this->blocks.find(hash); block != this->blocks.end())
            found.push_back(block->second);
    return found;
}

void Engine::insert(const PromptBlock& block)
{
    const std::lock_guard guard(this->lock);
    this->insertLocked(block);
}

std::size_t Engine::openRuns() const { return this->waiting.size() + this->running.size(); }

bool Engine::isBad(const RunRequest& request) const
{
    const auto seen = this->runsOfVersion.find(request.version);
    const auto count = seen == this->runsOfVersion.end() ? 0 : seen->second;
    return !this->faults.badVersion.empty() && request.version == this->faults.badVersion
        && count >= this->faults.badAfterRuns && static_cast<int>(this->openRuns()) >= this->faults.badFromRunning
        && (this->faults.badRoute.empty() || request.route == this->faults.badRoute);
}

void Engine::admit()
{
    std::sort(this->waiting.begin(), this->waiting.end(),
        [](const auto& left, const auto& right) { return precedes(*left, *right); });
    while (!this->waiting.empty() && this->running.size() < this->options.maxRunning) {
        this->running.push_back(this->waiting.front());
        this->waiting.erase(this->waiting.begin());
        this->start(*this->running.back());
    }
}

void Engine::start(Run& run)
{
    run.state = RunState::Running;
    for (const auto& block : run.blocks) {
        if (!this->blocks.contains(block.hash))
            break;
        this->lruOrder.remove(block.hash);
        this->lruOrder.push_front(block.hash);
        run.cachedTokens += this->options.blockTokens;
    }
    ++this->startedRuns;
    this->promptTokens += run.promptTokens;
    this->cachedTokens += run.cachedTokens;
    const auto all = run.promptTokens + run.request.startToken;
    run.prefillLeft = static_cast<double>(std::max<std::size_t>(1, all - std::min(all, run.cachedTokens)));
}

void Engine::prefill(double tokens)
{
    for (const auto& run : this->running) {
        const auto cost = run->isSlow ? badSlowdown : 1;
        if (run->prefillLeft <= 0 || tokens <= 0)
            continue;
        const auto spent = std::min(run->prefillLeft, tokens / cost);
        run->prefillLeft -= spent;
        tokens -= spent * cost;
        if (run->prefillLeft > 0)
            continue;
        run->decodeCredit = 1;
        for (const auto& block : run->blocks)
            this->insertLocked(block);
        const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - run->started;
        this->firstTokenMs += firstTokenSmoothing * (taken.count() - this->firstTokenMs);
    }
}

void Engine::decode(Run& run, double tokens)
{
    run.decodeCredit += tokens;
    while (run.decodeCredit >= 1 && run.request.startToken + run.tokens.size() < run.request.maxTokens) {
        run.decodeCredit -= 1;
        run.tokens.push_back(tokenAt(run.request, run.request.startToken + run.tokens.size()));
    }
    if (run.request.startToken + run.tokens.size() >= run.request.maxTokens)
        this->finish(run, RunState::Finished);
}

void Engine::finish(Run& run, RunState state)
{
    run.state = state;
    this->finishedRuns.push_back(run.request.runId);
    if (state == RunState::Finished && this->isCold && ++this->runsWhileCold >= this->options.warmUpRuns)
        this->isCold = false;
    this->progress.notify_all();
}

void Engine::insertLocked(const PromptBlock& block)
{
    this->lruOrder.remove(block.hash);
    this->lruOrder.push_front(block.hash);
    if (!this->blocks.emplace(block.hash, block).second)
        return;
    this->recordEvent("stored", block);
    while (this->blocks.size() > this->options.cacheBlocks && this->evictOldest()) { }
}

bool Engine::evictOldest()
{
    const auto oldest = std::find_if(
        this->lruOrder.rbegin(), this->lruOrder.rend(), [&](auto hash) { return !this->isPinned(hash); });
    if (oldest == this->lruOrder.rend())
        return false;
    const auto hash = *oldest;
    this->recordEvent("evicted", this->blocks.at(hash));
    this->blocks.erase(hash);
    this->lruOrder.remove(hash);
    return true;
}

void Engine::recordEvent(const char* kind, const PromptBlock& block)
{
    const bool dropped = uniform(this->random) < this->faults.dropEventShare;
    this->events.add({ { "kind", kind }, { "hash", toHex(block.hash) }, { "account", block.account },
                         { "version", block.version } },
        dropped);
}

bool Engine::isPinned(std::uint64_t hash) const
{
    return std::any_of(this->running.begin(), this->running.end(), [&](const auto& run) {
        const auto cachedBlocks = static_cast<std::ptrdiff_t>(run->cachedTokens / this->options.blockTokens);
        const auto begin = run->blocks.begin();
        return run->prefillLeft > 0
            && std::any_of(begin, begin + cachedBlocks, [&](const auto& block) { return block.hash == hash; });
    });
}

void Engine::resetToCold()
{
    this->isCold = true;
    this->runsWhileCold = 0;
    this->blocks.clear();
    this->lruOrder.clear();
    this->events.restart();
}

void Engine::discardOldRuns()
{
    while (this->finishedRuns.size() > maxFinishedRuns) {
        this->runs.erase(this->finishedRuns.front());
        this->finishedRuns.pop_front();
    }
}

nlohmann::json Engine::loadReport() const
{
    return { { "epoch", this->events.epoch }, { "running", this->running.size() },
        { "waiting", this->waiting.size() }, { "cached_blocks", this->blocks.size() },
        { "version", this->loadedVersion }, { "adapter", this->adapter }, { "role", this->role },
        { "first_token_ms", this->firstTokenMs } };
}

} // namespace goldcrestwood::standin
