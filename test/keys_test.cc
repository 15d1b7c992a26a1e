/// @file
/// Account keys and resume tickets.

#include <catch2/catch.hpp>

#include "goldcrestwood/keys.h"
#include "goldcrestwood/ticket.h"

using namespace goldcrestwood;

TEST_CASE("a key is valid only for its own account")
{
    const auto made = makeKeyHash("s3cret");
    REQUIRE(made);
    CHECK(made->salt != makeKeyHash("s3cret")->salt);
    // SHA-256 of "00s3cret", computed with another program.
    CHECK(hashKey("00", "s3cret").hash == "7735ed587bf74dd08782b0efaae03eb6e38691f5de090af91f91c9d49a29a030");
    AccountEntry entry;
    entry.name = ClientAccount("khangai.trials");
    entry.keySalt = made->salt;
    entry.keyHash = made->hash;

    const auto key = parseBearer("Bearer khangai.trials.s3cret");
    REQUIRE(key);
    CHECK(*key == CallerKey { entry.name, "s3cret" });
    CHECK(checkKey(&entry, key->secret));
    CHECK(checkKey(&entry, "s3creT").error() == KeyError::Rejected);
    CHECK(checkKey(nullptr, "s3cret").error() == KeyError::Rejected);
    for (const auto* header : { "", "Bearer ", "Bearer a", "Bearer .x", "Bearer a.", "Basic a.b" })
        CHECK(parseBearer(header).error() == KeyError::Missing);
}

TEST_CASE("a ticket is accepted only if it is intact, unexpired and from its account")
{
    const TicketSigner signer({ "key one" });
    const Ticket ticket { "r1", ClientAccount("bakery"), ServiceName("kiln-voice"), UpstreamId("kv-3"), "r1.2", 41, 1000 };
    const auto text = signer.sign(ticket);
    CHECK(text.find_first_of(" \r\n") == std::string::npos);
    REQUIRE(signer.verify(text, ticket.account, 1000));
    CHECK(*signer.verify(text, ticket.account, 1000) == ticket);
    CHECK(signer.verify(text, ticket.account, 1001).error() == TicketError::Expired);
    CHECK(signer.verify(text, ClientAccount("herder"), 1000).error() == TicketError::OtherAccount);
    CHECK(TicketSigner({ "key two", "key one" }).verify(text, ticket.account, 1000));
    CHECK(TicketSigner({ "key two" }).verify(text, ticket.account, 1000).error() == TicketError::BadSignature);
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        auto changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(signer.verify(changed, ticket.account, 1000));
    }
    for (const auto* garbage : { "", "A", "====", "not a ticket", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA" })
        CHECK_FALSE(signer.verify(garbage, ticket.account, 1000));
    CHECK(signer.verify(std::string(5000, 'A'), ticket.account, 1000).error() == TicketError::Malformed);
}
