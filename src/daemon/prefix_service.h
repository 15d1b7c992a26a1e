#pragma once

/// @file
/// The part of the prefix directory that this daemon owns, and questions to the owners of the rest.

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "daemon/peer_directory.h"
#include "daemon/peer_mesh.h"
#include "goldcrestwood/chain.h"
#include "goldcrestwood/prefix_index.h"
#include "goldcrestwood/prefix_messages.h"
#include "goldcrestwood/return_history.h"

namespace goldcrestwood {

/// What the owner of a chain said of it.
struct CoverageAnswer {
    ChainCoverage coverage;
    /// Whether the owner answered.
    bool known = false;
};

/// What the state dump shows of the directory.
struct PrefixStatus {
    std::size_t blocks = 0;
    std::size_t memoryBytes = 0;
    PrefixIndexCounts counts;
};

class PrefixService {
public:
    /// @param mesh, directory Must outlive the service.
    /// @param region Region of this daemon.
    /// @param timeout Longest wait for the owner of a chain.
    PrefixService(PeerMesh& mesh, PeerDirectory& directory, Region region, Duration timeout);

    /// Asks the owner of a chain who holds it.
    CoverageAnswer coverage(const ClientAccount& account, const PromptChain& chain);
    /// Tells the owners of the chain and of the holder that the holder will have the chain.
    void announcePlaced(const UpstreamId& upstream, std::uint64_t upstreamOwnerKey, const PromptChain& chain);
    /// Tells the owner of a holder which chain its blocks belong to.
    void announceKnown(const UpstreamId& holder, std::uint64_t holderOwnerKey, const PromptChain& chain);
    /// Tells the owner of the chain that an engine answered its prompt.
    void announceUsed(const PromptChain& chain, const ChainUsed& used);
    /// Tells the owner of the chain what a transfer showed about a store.
    void announceSeen(const PromptChain& chain, const BlocksSeen& seen);
    /// @return The daemon that owns the chains with a first block.
    InstanceId ownerOf(ChainHash firstBlock);
    PrefixStatus status();

private:
    ChainCoverage lookUp(const ClientAccount& account, const std::vector<ChainHash>& blocks);

    PeerMesh& mesh;
    PeerDirectory& directory;
    Region region;
    Duration timeout;
    std::mutex mutex;
    PrefixIndex index;
    ReturnHistory history;
};

} // namespace goldcrestwood
