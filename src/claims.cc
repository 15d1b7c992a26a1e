#include "goldcrestwood/claims.h"

#include <algorithm>
#include <array>
#include <cstring>

#include <openssl/sha.h>

#include "goldcrestwood/hash.h"

namespace goldcrestwood {

namespace {

    using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

    Digest sha256(std::string_view bytes)
    {
        Digest digest {};
        SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
        return digest;
    }

    std::uint64_t wordAt(const Digest& digest, std::size_t index)
    {
        std::uint64_t value = 0;
        for (std::size_t byte = 0; byte < sizeof value; ++byte)
            value = value << 8 | digest[index * sizeof value + byte];
        return value;
    }

    std::string toHex(const Digest& digest)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        for (const auto byte : digest) {
            text += digits[byte >> 4];
            text += digits[byte & 15];
        }
        return text;
    }

    /// Prefixes the part with its length, so that ("a", "bc") and ("ab", "c") differ.
    void appendPart(std::string& scope, std::string_view part)
    {
        scope += std::to_string(part.size());
        scope += ':';
        scope += part;
    }

} // namespace

ClaimKey claimKey(const ClientAccount& account, const ServiceName& service, std::string_view idempotencyKey)
{
    std::string scope;
    appendPart(scope, account.value);
    appendPart(scope, service.value);
    appendPart(scope, idempotencyKey);
    const auto digest = sha256(scope);
    return { wordAt(digest, 0), wordAt(digest, 1) };
}

std::uint64_t claimBodyHash(std::string_view body)
{
    return wordAt(sha256(body), 0);
}

std::uint32_t claimShard(const ClaimKey& key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(key.high % shards);
}

std::string claimStream(std::uint32_t shard)
{
    return "claims-" + std::to_string(shard);
}

ClaimOutcome makeOutcome(const ClaimKey& key, const ClaimId& id, std::uint32_t status, std::string contentType,
    std::string body, const ClaimTableSettings& settings)
{
    ClaimOutcome outcome { key, id, OutcomeKind::Answered, status, std::move(contentType), {}, body.size(), {}, {} };
    if (body.size() <= settings.maxOutcomeBodyBytes)
        outcome.body = std::move(body);
    else
        outcome.bodyDigest = toHex(sha256(body));
    return outcome;
}

std::size_t ClaimTable::IdHash::operator()(const ClaimId& id) const
{
    return stableHash(id.claimant.value, id.incarnation * 31 + id.number);
}

ClaimTable::ClaimTable(const ClaimTableSettings& bounds)
    : settings(bounds)
{
}

ClaimTable::ClaimTable(const ClaimTableSettings& bounds, const ClaimTableState& state)
    : settings(bounds)
    , tableTime(state.time)
    , withdrawn(state.withdrawn.begin(), state.withdrawn.end())
{
    for (const auto& entry : state.entries) {
        auto& restored = this->entries[entry.key];
        restored = { entry.holder, entry.bodyHash, entry.since, {}, false };
        if (entry.outcome)
            setOutcome(restored, *entry.outcome);
        this->keysByAge.push_back({ entry.since, entry.key });
    }
    for (const auto& mark : this->withdrawn)
        this->withdrawnIds.insert(mark.id);
}

void ClaimTable::advanceTime(Duration at)
{
    const auto step = this->settings.maxClockStep;
    this->tableTime = this->tableTime == Duration(0) ? at : std::clamp(at, this->tableTime - step, this->tableTime + step);
    const auto oldestKept = this->tableTime - this->settings.keyWindow;
    while (!this->keysByAge.empty() && this->keysByAge.front().since < oldestKept) {
        const auto entry = this->entries.find(this->keysByAge.front().key);
        if (entry != this->entries.end() && entry->second.since == this->keysByAge.front().since)
            this->entries.erase(entry);
        this->keysByAge.pop_front();
    }
    while (!this->withdrawn.empty()
        && (this->withdrawn.front().since < oldestKept || this->withdrawn.size() > this->settings.maxWithdrawn)) {
        this->withdrawnIds.erase(this->withdrawn.front().id);
        this->withdrawn.pop_front();
    }
}

void ClaimTable::apply(const ClaimRecord& claim)
{
    this->advanceTime(claim.at);
    const bool isIgnored = this->withdrawnIds.contains(claim.id) || this->entries.contains(claim.key) || this->isFull();
    if (isIgnored)
        return;
    this->entries[claim.key] = { claim.id, claim.bodyHash, this->tableTime, {}, false };
    this->keysByAge.push_back({ this->tableTime, claim.key });
}

void ClaimTable::apply(const ClaimWithdrawal& withdrawal)
{
    this->advanceTime(withdrawal.at);
    const auto entry = this->entries.find(withdrawal.key);
    const bool isHolder = entry != this->entries.end() && entry->second.holder == withdrawal.id;
    if (isHolder && !entry->second.outcome.empty())
        return;
    if (isHolder)
        this->entries.erase(entry);
    if (this->withdrawnIds.insert(withdrawal.id).second)
        this->withdrawn.push_back({ withdrawal.id, this->tableTime });
}

void ClaimTable::apply(const ClaimOutcome& outcome)
{
    this->advanceTime(outcome.at);
    const auto entry = this->entries.find(outcome.key);
    if (entry == this->entries.end() || entry->second.holder != outcome.id || entry->second.isAnswered)
        return;
    auto stored = outcome;
    if (stored.body.size() > this->settings.maxOutcomeBodyBytes)
        stored.body.clear();
    setOutcome(entry->second, std::move(stored));
}

void ClaimTable::setOutcome(Entry& entry, ClaimOutcome outcome)
{
    outcome.key = {};
    outcome.id = {};
    entry.isAnswered = outcome.kind == OutcomeKind::Answered;
    entry.outcome = encode(outcome);
    entry.outcome.shrink_to_fit();
}

std::optional<ClaimOutcome> ClaimTable::outcomeOf(const ClaimKey& key, const Entry& entry)
{
    if (entry.outcome.empty())
        return std::nullopt;
    auto outcome = decode<ClaimOutcome>(entry.outcome).value();
    outcome.key = key;
    outcome.id = entry.holder;
    return outcome;
}

std::optional<ClaimReply> ClaimTable::reply(const ClaimKey& key, const ClaimId& id, std::uint64_t bodyHash) const
{
    const auto found = this->entries.find(key);
    const auto* entry = found == this->entries.end() ? nullptr : &found->second;
    const bool isWithdrawn = this->withdrawnIds.contains(id);
    if (!entry && !isWithdrawn)
        return std::nullopt;
    ClaimReply reply { key, id, ClaimVerdict::Withdrawn, {}, {}, {} };
    if (!entry)
        return reply;
    reply.holder = entry->holder;
    reply.outcome = outcomeOf(key, *entry);
    const bool isOtherClaim = entry->holder != id;
    if (isOtherClaim && entry->bodyHash != bodyHash)
        reply.verdict = ClaimVerdict::Mismatch;
    else if (reply.outcome)
        reply.verdict = ClaimVerdict::Recorded;
    else if (!isWithdrawn)
        reply.verdict = isOtherClaim ? ClaimVerdict::Held : ClaimVerdict::Won;
    if (reply.verdict == ClaimVerdict::Mismatch)
        reply.outcome.reset();
    return reply;
}

ClaimTableState ClaimTable::state() const
{
    ClaimTableState state { this->tableTime, {}, { this->withdrawn.begin(), this->withdrawn.end() } };
    for (const auto& [since, key] : this->keysByAge) {
        const auto found = this->entries.find(key);
        if (found == this->entries.end() || found->second.since != since)
            continue;
        const auto& entry = found->second;
        state.entries.push_back({ key, entry.holder, entry.bodyHash, since, outcomeOf(key, entry) });
    }
    return state;
}

} // namespace goldcrestwood
