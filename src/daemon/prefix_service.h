#pragma once

/// @file
/// Keeps the part of the prefix directory that this daemon owns, and queries the owners of the other parts.

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

/// Answer of a chain's owner to a coverage query.
struct CoverageAnswer {
    ChainCoverage coverage;
    /// Whether the daemon that answered owns the chain; false if there was no answer.
    bool known = false;
};

/// Status of the directory in the state dump.
struct PrefixStatus {
    std::size_t blocks = 0;
    std::size_t memoryBytes = 0;
    PrefixIndexCounts counts;
};

class PrefixService {
public:
    /// @param mesh, directory Must outlive the service.
    /// @param region Region of this daemon.
    /// @param timeout Maximum wait for the answer of a chain's owner.
    PrefixService(PeerMesh& mesh, PeerDirectory& directory, Region region, Duration timeout);

    /// Queries the owner of a chain for the holders of its blocks.
    CoverageAnswer coverage(const ClientAccount& account, const PromptChain& chain);
    /// Notifies the owners of the chain and of the upstream that the upstream will hold the chain.
    void announcePlaced(const UpstreamId& upstream, std::uint64_t upstreamOwnerKey, const PromptChain& chain);
    /// Notifies the owner of a holder which chain the holder's blocks belong to.
    void announceKnown(const UpstreamId& holder, std::uint64_t holderOwnerKey, const PromptChain& chain);
    /// Notifies the owner of the chain that an engine answered its prompt.
    void announceUsed(const PromptChain& chain, const ChainUsed& used);
    /// Notifies the owner of the chain which blocks a transfer found present or absent at a store.
    void announceSeen(const PromptChain& chain, const BlocksSeen& seen);
    /// @return The daemon that owns the chains that start with @p firstBlock.
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
