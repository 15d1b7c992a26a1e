// Generated from schema/settings.toml by support/generate.py; edit the schema instead.

#include "daemon/settings_reader.h"

namespace goldcrestwood {

void readTable(TableReader& reader, InstanceSettings& out)
{
    reader.string("id", out.id.value, Presence::Required);
    reader.string("domain", out.domain.value, Presence::Required);
    reader.string("region", out.region.value, Presence::Required);
    reader.finish();
}

void readTable(TableReader& reader, ListenSettings& out)
{
    reader.address("callers", out.callers, Presence::Required);
    reader.address("operators", out.operators, Presence::Required);
    reader.address("peers", out.peers, Presence::Required);
    reader.number("caller_threads", out.callerThreads, Presence::Optional, { 4, 4096 });
    reader.size("max_body_size", out.maxBodySize, Presence::Optional, { 1024, 1073741824 });
    reader.size("max_header_size", out.maxHeaderSize, Presence::Optional, { 1024, 1048576 });
    reader.duration("receive_timeout", out.receiveTimeout, Presence::Optional, { Duration(100000), Duration(600000000) });
    reader.finish();
}

void readTable(TableReader& reader, PlatformSettings& out)
{
    reader.address("log", out.log, Presence::Required);
    reader.address("instances", out.instances, Presence::Required);
    reader.duration("timeout", out.timeout, Presence::Optional, { Duration(10000), Duration(60000000) });
    reader.duration("read_wait", out.readWait, Presence::Optional, { Duration(0), Duration(60000000) });
    reader.number("claim_shards", out.claimShards, Presence::Optional, { 1, 1024 });
    reader.finish();
}

void readTable(TableReader& reader, PeerSettings& out)
{
    reader.addresses("seeds", out.seeds, Presence::Optional);
    reader.duration("timeout", out.timeout, Presence::Optional, { Duration(10000), Duration(60000000) });
    reader.duration("gossip_interval", out.gossipInterval, Presence::Optional, { Duration(10000), Duration(60000000) });
    reader.finish();
}

void readTable(TableReader& reader, ServingSettings& out)
{
    reader.string("ticket_key", out.ticketKey, Presence::Required);
    reader.duration("resume_window", out.resumeWindow, Presence::Optional, { Duration(1000000), Duration(3600000000) });
    reader.duration("request_timeout", out.requestTimeout, Presence::Optional, { Duration(100000), Duration(3600000000) });
    reader.duration("call_timeout", out.callTimeout, Presence::Optional, { Duration(100000), Duration(3600000000) });
    reader.duration("endpoint_lifetime", out.endpointLifetime, Presence::Optional, { Duration(1000000), Duration(3600000000) });
    reader.duration("shutdown_timeout", out.shutdownTimeout, Presence::Optional, { Duration(1000000), Duration(86400000000) });
    reader.finish();
}

void readTable(TableReader& reader, Settings& out)
{
    reader.table("instance", out.instance, Presence::Required);
    reader.table("listen", out.listen, Presence::Required);
    reader.table("platform", out.platform, Presence::Required);
    reader.table("peers", out.peers, Presence::Optional);
    reader.table("serving", out.serving, Presence::Required);
    reader.finish();
}

} // namespace goldcrestwood