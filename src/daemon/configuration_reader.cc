// Generated from schema/configuration.toml by support/generate.py; edit the schema instead.

#include "daemon/configuration_reader.h"

namespace goldcrestwood {

void readTable(TableReader& reader, AccountEntry& out)
{
    reader.string("name", out.name.value, Presence::Required);
    reader.string("key_salt", out.keySalt, Presence::Required);
    reader.string("key_hash", out.keyHash, Presence::Required);
    reader.choice("priority", out.priority, Presence::Optional, { { "normal", Priority::Normal }, { "important", Priority::Important }, { "batch", Priority::Batch } });
    reader.number("requests_per_second", out.requestsPerSecond, Presence::Optional, { 0.01, 100000 });
    reader.number("burst_requests", out.burstRequests, Presence::Optional, { 1, 100000 });
    reader.number("weight", out.weight, Presence::Optional, { 0.01, 1000 });
    reader.finish();
}

void readTable(TableReader& reader, ServiceEntry& out)
{
    reader.string("name", out.name.value, Presence::Required);
    reader.choice("kind", out.kind, Presence::Optional, { { "model", ServiceKind::Model }, { "plain", ServiceKind::Plain } });
    reader.number("block_tokens", out.blockTokens, Presence::Optional, { 16, 65536 });
    reader.number("bytes_per_token", out.bytesPerToken, Presence::Optional, { 1, 4194304 });
    reader.string("tokenizer", out.tokenizer, Presence::Optional);
    reader.duration("first_token_target", out.firstTokenTarget, Presence::Optional, { Duration(1000), Duration(600000000) });
    reader.duration("stall_limit", out.stallLimit, Presence::Optional, { Duration(10000), Duration(600000000) });
    reader.boolean("repeatable", out.repeatable, Presence::Optional);
    reader.boolean("status_query", out.statusQuery, Presence::Optional);
    reader.number("cold_concurrency", out.coldConcurrency, Presence::Optional, { 1, 10000 });
    reader.number("max_concurrency", out.maxConcurrency, Presence::Optional, { 1, 100000 });
    reader.finish();
}

void readTable(TableReader& reader, VersionEntry& out)
{
    reader.string("service", out.service.value, Presence::Required);
    reader.string("version", out.version.value, Presence::Required);
    reader.string("weights", out.weights, Presence::Required);
    reader.duration("finish_within", out.finishWithin, Presence::Optional, { Duration(0), Duration(2592000000000) });
    reader.finish();
}

void readTable(TableReader& reader, UpstreamEntry& out)
{
    reader.string("id", out.id.value, Presence::Required);
    reader.string("service", out.service.value, Presence::Required);
    reader.address("address", out.address, Presence::Required);
    reader.string("domain", out.domain.value, Presence::Required);
    reader.boolean("checks_fencing", out.checksFencing, Presence::Optional);
    reader.boolean("resumes", out.resumes, Presence::Optional);
    reader.finish();
}

void readTable(TableReader& reader, StoreEntry& out)
{
    reader.string("id", out.id.value, Presence::Required);
    reader.string("service", out.service.value, Presence::Required);
    reader.address("address", out.address, Presence::Required);
    reader.string("domain", out.domain.value, Presence::Required);
    reader.size("link_bytes_per_second", out.linkBytesPerSecond, Presence::Optional, { 1024, 1099511627776 });
    reader.finish();
}

void readTable(TableReader& reader, DomainEntry& out)
{
    reader.string("name", out.name.value, Presence::Required);
    reader.string("region", out.region.value, Presence::Optional);
    reader.choice("state", out.state, Presence::Optional, { { "in", DomainState::In }, { "out", DomainState::Out } });
    reader.finish();
}

void readTable(TableReader& reader, Configuration& out)
{
    reader.tables("account", out.accounts, Presence::Optional);
    reader.tables("service", out.services, Presence::Optional);
    reader.tables("version", out.versions, Presence::Optional);
    reader.tables("upstream", out.upstreams, Presence::Optional);
    reader.tables("store", out.stores, Presence::Optional);
    reader.tables("domain", out.domains, Presence::Optional);
    reader.finish();
}

} // namespace goldcrestwood