#include "daemon/prefix_service.h"

#include "daemon/clock.h"

namespace goldcrestwood {

PrefixService::PrefixService(PeerMesh& peerMesh, PeerDirectory& peerDirectory, Region ownRegion, Duration answerTimeout)
    : mesh(peerMesh)
    , directory(peerDirectory)
    , region(std::move(ownRegion))
    , timeout(answerTimeout)
{
    this->directory.handle("PrefixQuery", [this](const PeerMessage& message, const PeerReply& reply) {
        const auto query = decode<PrefixQuery>(message.payload);
        if (!query || query->hashes.empty()) {
            reply({});
            return;
        }
        const auto blocks = chainHashes(query->hashes);
        const PrefixAnswer answer { this->ownerOf(blocks.front()) == this->mesh.self(), this->lookUp(query->account, blocks) };
        reply({ "PrefixAnswer", encode(answer) });
    });
    this->directory.handlePosted<ChainPlaced>("ChainPlaced", [this](const ChainPlaced& placed) {
        if (placed.hashes.empty())
            return;
        const std::lock_guard lock(this->mutex);
        this->index.expect(placed, monotonicNow());
    });
    this->directory.handlePosted<ChainUsed>("ChainUsed", [this](const ChainUsed& used) {
        if (used.hashes.empty())
            return;
        const std::lock_guard lock(this->mutex);
        this->index.observe(used, monotonicNow());
    });
    this->directory.handlePosted<BlocksSeen>("BlocksSeen", [this](const BlocksSeen& seen) {
        const std::lock_guard lock(this->mutex);
        this->index.observe(seen, monotonicNow());
    });
    this->directory.handlePosted<HolderEvents>("HolderEvents", [this](const HolderEvents& batch) {
        const std::lock_guard lock(this->mutex);
        this->index.apply(batch, monotonicNow());
    });
}

InstanceId PrefixService::ownerOf(ChainHash firstBlock)
{
    return this->mesh.rank({ firstBlock.value, this->region, {} }).owner;
}

ChainCoverage PrefixService::lookUp(const ClientAccount& account, const std::vector<ChainHash>& blocks)
{
    const std::lock_guard lock(this->mutex);
    const auto now = monotonicNow();
    auto coverage = this->index.lookUp(blocks, now);
    this->history.observe(account, blocks, now);
    coverage.returnChance = this->history.returnChance(account);
    return coverage;
}

CoverageAnswer PrefixService::coverage(const ClientAccount& account, const PromptChain& chain)
{
    if (chain.blocks.empty())
        return { {}, true };
    const auto owner = this->ownerOf(chain.blocks.front());
    if (owner.empty())
        return {};
    if (owner == this->mesh.self())
        return { this->lookUp(account, chain.blocks), true };
    const PrefixQuery query { account, hashValues(chain.blocks) };
    const auto answer = this->directory.call<PrefixAnswer>(owner, "PrefixQuery", query, this->timeout);
    if (!answer)
        return {};
    return { answer->coverage, answer->owned };
}

void PrefixService::announcePlaced(const UpstreamId& upstream, std::uint64_t upstreamOwnerKey, const PromptChain& chain)
{
    if (chain.blocks.empty())
        return;
    this->announceKnown(upstream, upstreamOwnerKey, chain);
    if (const auto owner = this->ownerOf(chain.blocks.front()); !owner.empty())
        this->directory.post(owner, "ChainPlaced", ChainPlaced { upstream, hashValues(chain.blocks) });
}

void PrefixService::announceKnown(const UpstreamId& holder, std::uint64_t holderOwnerKey, const PromptChain& chain)
{
    if (const auto owner = this->mesh.ownersOf(holderOwnerKey).owner; !owner.empty())
        this->directory.post(owner, "ChainKnown", ChainPlaced { holder, hashValues(chain.blocks) });
}

void PrefixService::announceUsed(const PromptChain& chain, const ChainUsed& used)
{
    if (chain.blocks.empty())
        return;
    if (const auto owner = this->ownerOf(chain.blocks.front()); !owner.empty())
        this->directory.post(owner, "ChainUsed", used);
}

void PrefixService::announceSeen(const PromptChain& chain, const BlocksSeen& seen)
{
    if (chain.blocks.empty())
        return;
    if (const auto owner = this->ownerOf(chain.blocks.front()); !owner.empty())
        this->directory.post(owner, "BlocksSeen", seen);
}

PrefixStatus PrefixService::status()
{
    const std::lock_guard lock(this->mutex);
    return { this->index.blocks(), this->index.memoryBytes(), this->index.counts() };
}

} // namespace goldcrestwood
