#include "goldcrestwood/part_cache.h"

#include <utility>

namespace goldcrestwood {

namespace {

    constexpr std::size_t maxIdBytes = 128;

    std::string keyOf(const std::string& scope, const std::string& id)
    {
        return scope + '/' + id;
    }

} // namespace

void PartCache::setCapacity(std::uint64_t capacityTokens)
{
    this->capacity = capacityTokens;
    this->evict();
}

void PartCache::setMaxParts(std::size_t count)
{
    this->maxParts = count;
    this->evict();
}

std::uint64_t PartCache::heldTokens(const std::string& scope, const std::vector<PromptPart>& parts) const
{
    std::uint64_t sum = 0;
    for (const auto& part : parts) {
        if (part.tokens == 0)
            continue;
        const auto found = this->index.find(keyOf(scope, part.id));
        if (found == this->index.end())
            break;
        sum += std::min(part.tokens, found->second->tokens);
        if (found->second->tokens < part.tokens)
            break;
    }
    return sum;
}

bool PartCache::holds(const std::string& scope, const PromptPart& part) const
{
    const auto found = this->index.find(keyOf(scope, part.id));
    return found != this->index.end() && found->second->tokens >= part.tokens;
}

void PartCache::use(const std::string& scope, const std::vector<PromptPart>& parts)
{
    // Touch from last to first, so that a prompt's tail is evicted before its head.
    for (std::size_t remaining = parts.size(); remaining > 0; --remaining)
        this->touch(scope, parts[remaining - 1].id, parts[remaining - 1].tokens);
    this->evict();
}

void PartCache::add(const std::string& scope, const std::string& id, std::uint32_t tokens)
{
    this->touch(scope, id, tokens);
    this->evict();
}

void PartCache::shrink(const std::string& scope, const std::string& id, std::uint32_t tokens)
{
    const auto found = this->index.find(keyOf(scope, id));
    if (found == this->index.end() || found->second->tokens <= tokens)
        return;
    this->held -= found->second->tokens - tokens;
    found->second->tokens = tokens;
    if (tokens > 0)
        return;
    const auto entry = found->second;
    this->index.erase(found);
    this->order.erase(entry);
}

void PartCache::clear()
{
    this->index.clear();
    this->order.clear();
    this->held = 0;
}

void PartCache::touch(const std::string& scope, const std::string& id, std::uint32_t tokens)
{
    if (tokens == 0 || id.size() > maxIdBytes)
        return;
    auto key = keyOf(scope, id);
    if (const auto found = this->index.find(key); found != this->index.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        if (tokens > found->second->tokens) {
            this->held += tokens - found->second->tokens;
            found->second->tokens = tokens;
        }
        return;
    }
    this->order.push_front({ std::move(key), tokens });
    this->index.emplace(this->order.front().key, this->order.begin());
    this->held += tokens;
}

void PartCache::evict()
{
    while (!this->order.empty() && ((this->capacity > 0 && this->held > this->capacity) || this->index.size() > this->maxParts)) {
        this->held -= this->order.back().tokens;
        this->index.erase(this->order.back().key);
        this->order.pop_back();
    }
}

} // namespace goldcrestwood
