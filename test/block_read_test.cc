/// @file
/// Tests that reads of freed, replaced, partly written or foreign blocks never yield bytes.

#include <catch2/catch.hpp>

#include <map>

#include "goldcrestwood/block_read.h"
#include "goldcrestwood/random.h"

using namespace goldcrestwood;

namespace {

constexpr ChainHash hash { 7 };
constexpr ChainHash scope { 70 };
const std::string content = "keys and values of a whole block";

BlockHeader sealedHeader()
{
    return { hash, scope, 3, true, content.size(), blockChecksum(content) };
}

/// One slot in a holder's memory, which is concurrently freed, reused and partly written.
struct FakeSlot {
    std::optional<BlockHeader> header;
    std::string bytes;

    void write(ChainHash newHash, ChainHash newScope, const std::string& text, std::uint64_t generation, bool sealed)
    {
        this->bytes = sealed ? text : text.substr(0, text.size() / 2) + std::string(text.size() - text.size() / 2, '\0');
        this->header = BlockHeader { newHash, newScope, generation, sealed, text.size(), blockChecksum(text) };
    }
};

} // namespace

TEST_CASE("an unchanged block can be used")
{
    BlockRead read(hash, scope);
    CHECK(read.begin(sealedHeader()) == BlockRead::State::Reading);
    CHECK(read.pinned());
    CHECK(read.bytes().empty());
    read.append(content.substr(0, 10));
    read.append(content.substr(10));
    CHECK(read.end(sealedHeader()) == BlockRead::State::Verified);
    CHECK(read.bytes() == content);
    CHECK_FALSE(read.pinned());
}

TEST_CASE("each kind of invalid block is rejected")
{
    auto replaced = sealedHeader();
    ++replaced.generation;
    auto unsealed = sealedHeader();
    unsealed.sealed = false;
    auto otherScope = sealedHeader();
    otherScope.scope = { 71 };
    auto otherBlock = sealedHeader();
    otherBlock.hash = { 8 };
    auto huge = sealedHeader();
    huge.bytes = ~std::uint64_t { 0 };
    auto corrupted = content;
    corrupted[5] ^= 1;

    struct Case {
        std::optional<BlockHeader> before;
        std::string bytes;
        std::optional<BlockHeader> after;
        ReadFailure failure;
    };
    const auto good = sealedHeader();
    const std::vector<Case> cases {
        { std::nullopt, content, good, ReadFailure::Absent },
        { good, content, std::nullopt, ReadFailure::Absent },
        { unsealed, content, good, ReadFailure::NotSealed },
        { good, content, unsealed, ReadFailure::NotSealed },
        { otherScope, content, otherScope, ReadFailure::OtherScope },
        { good, content, otherScope, ReadFailure::OtherScope },
        { otherBlock, content, otherBlock, ReadFailure::OtherBlock },
        { good, content, replaced, ReadFailure::Replaced },
        { good, content.substr(1), good, ReadFailure::WrongSize },
        { good, content + "x", good, ReadFailure::WrongSize },
        { huge, content, huge, ReadFailure::WrongSize },
        { good, corrupted, good, ReadFailure::WrongChecksum },
    };
    for (const auto& [before, bytes, after, failure] : cases) {
        BlockRead read(hash, scope);
        read.begin(before);
        read.append(bytes);
        CHECK(read.end(after) == BlockRead::State::Failed);
        CHECK(read.failure() == failure);
        CHECK(read.bytes().empty());
        // No later call changes the result.
        read.begin(good);
        read.append(content);
        CHECK(read.end(good) == BlockRead::State::Failed);
    }
    BlockRead silent(hash, scope);
    silent.begin(good);
    CHECK(silent.timeOut() == BlockRead::State::Failed);
    CHECK_FALSE(silent.pinned());
}

TEST_CASE("verified bytes are those of the block despite concurrent changes of the slot")
{
    int used = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        FakeSlot slot;
        slot.write(hash, scope, content, 1, true);
        std::uint64_t generation = 1;
        auto disturb = [&] {
            const auto text = random() % 2 ? content : std::string(content.size(), 'z');
            switch (random() % 8) {
            case 0:
                slot.header.reset();
                break;
            case 1:
                slot.write(hash, scope, text, ++generation, false);
                break;
            case 2:
                slot.write(ChainHash { 8 }, scope, text, ++generation, true);
                break;
            case 3:
                slot.write(hash, ChainHash { 71 }, text, ++generation, true);
                break;
            case 4:
                slot.write(hash, scope, content, ++generation, true);
                break;
            default:
                break;
            }
        };
        disturb();
        BlockRead read(hash, scope);
        read.begin(slot.header);
        for (std::size_t at = 0; at < content.size(); at += 8) {
            disturb();
            read.append(std::string_view(slot.bytes).substr(at, 8));
        }
        disturb();
        if (read.end(slot.header) != BlockRead::State::Verified)
            continue;
        ++used;
        CHECK(read.bytes() == content);
    }
    CHECK(used > 0);
}
