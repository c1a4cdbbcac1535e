#include "vanillahall/net/link_base.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** Records the events reported at one end of a link. */
struct LinkEventRecorder
{
    std::vector<std::string> opened;                             ///< Peers of opened links, as "name/incarnation/key".
    std::vector<LinkNumber> numbers;                             ///< Opened links.
    std::vector<LinkMessage> messages;                           ///< Received messages, in order.
    std::vector<LinkNumber> closed;                              ///< Closed links.
    std::function<void(LinkNumber, LinkMessage)> onEveryMessage; ///< Called for every message.

    LinkHandlers handlers()
    {
        LinkHandlers it;
        it.onOpened = [this](LinkNumber number, const LinkIdentity &peer) {
            opened.push_back(peer.name + "/" + std::to_string(peer.incarnation.value) + "/" + peer.key);
            numbers.push_back(number);
        };
        it.onMessage = [this](LinkNumber number, LinkMessage &&message) {
            messages.push_back(message);
            if (onEveryMessage) {
                onEveryMessage(number, messages.back());
            }
        };
        it.onClosed = [this](LinkNumber number) {
            closed.push_back(number);
        };
        return it;
    }
};

LinkIdentity identity(const std::string &name, const std::string &key)
{
    return {name, Incarnation{name.size()}, key};
}

LinkMessage probe(std::uint64_t sequence)
{
    return EntryToGate(Probe{sequence});
}

std::uint64_t sequenceOf(const LinkMessage &message)
{
    return std::get<Probe>(std::get<EntryToGate>(message)).sequence;
}

struct LinkTest : testing::Test
{
    void SetUp() override
    {
        server = std::make_unique<LinkServer>(loop, "127.0.0.1:0", identity("gate-1", "secret"), TlsFiles(), gate.handlers());
        Error reason;
        const auto port = server->listen(reason);
        ASSERT_TRUE(port) << reason.message;
        address = "127.0.0.1:" + std::to_string(*port);
        client = std::make_unique<LinkClient>(loop, identity("entry-a", "secret"), TlsFiles(), entry.handlers());
    }

    void runUntil(const std::function<bool()> &done)
    {
        const TimePoint limit = Loop::now() + std::chrono::seconds(20);
        bool reached = done();
        while (!reached && Loop::now() < limit) {
            loop.runOnce(std::chrono::milliseconds(100));
            reached = done();
        }
        ASSERT_TRUE(reached);
    }

    Loop loop;
    LinkEventRecorder gate;
    LinkEventRecorder entry;
    std::unique_ptr<LinkServer> server;
    std::unique_ptr<LinkClient> client;
    std::string address;
};

TEST_F(LinkTest, BothEndsReceiveThePeerIdentity)
{
    client->open(address);
    runUntil([&] {
        return !gate.opened.empty() && !entry.opened.empty();
    });
    EXPECT_EQ(gate.opened, std::vector<std::string>{"entry-a/7/"});
    EXPECT_EQ(entry.opened, std::vector<std::string>{"gate-1/6/"});
}

TEST_F(LinkTest, MessagesArriveInOrderBothWays)
{
    constexpr std::uint64_t Count = 5000;
    gate.onEveryMessage = [&](LinkNumber number, const LinkMessage &message) {
        EXPECT_TRUE(server->send(number, message));
    };
    const LinkNumber link = client->open(address);
    for (std::uint64_t i = 0; i < Count; ++i) {
        ASSERT_TRUE(client->send(link, probe(i)));
    }
    runUntil([&] {
        return entry.messages.size() == Count;
    });
    for (std::uint64_t i = 0; i < Count; ++i) {
        ASSERT_EQ(sequenceOf(gate.messages[i]), i);
        ASSERT_EQ(sequenceOf(entry.messages[i]), i);
    }
}

TEST_F(LinkTest, WrongKeyIsRefused)
{
    LinkEventRecorder stranger;
    LinkClient other(loop, identity("entry-x", "guess"), TlsFiles(), stranger.handlers());
    const LinkNumber link = other.open(address);
    other.send(link, probe(1));
    runUntil([&] {
        return !stranger.closed.empty();
    });
    EXPECT_EQ(stranger.closed, std::vector<LinkNumber>{link});
    EXPECT_TRUE(stranger.opened.empty());
    EXPECT_TRUE(gate.opened.empty());
    EXPECT_TRUE(gate.messages.empty());
    EXPECT_FALSE(other.send(link, probe(2)));
}

TEST_F(LinkTest, ClosingIsReportedOnceAtBothEnds)
{
    const LinkNumber link = client->open(address);
    runUntil([&] {
        return !gate.opened.empty() && !entry.opened.empty();
    });
    client->close(link);
    EXPECT_FALSE(client->send(link, probe(1)));
    runUntil([&] {
        return !gate.closed.empty() && !entry.closed.empty();
    });
    client->close(link);
    loop.runOnce(std::chrono::milliseconds(1));
    EXPECT_EQ(gate.closed, gate.numbers);
    EXPECT_EQ(entry.closed, std::vector<LinkNumber>{link});
}

TEST_F(LinkTest, ClientReopensAfterServerCloses)
{
    client->open(address);
    runUntil([&] {
        return !gate.opened.empty() && !entry.opened.empty();
    });
    server->close(gate.numbers[0]);
    runUntil([&] {
        return !gate.closed.empty() && !entry.closed.empty();
    });
    const LinkNumber again = client->open(address);
    client->send(again, probe(9));
    runUntil([&] {
        return !gate.messages.empty();
    });
    EXPECT_EQ(entry.numbers.size(), 2U);
    EXPECT_EQ(entry.numbers[1], again);
}

TEST_F(LinkTest, DestroyedServerClosesTheLink)
{
    client->open(address);
    runUntil([&] {
        return !gate.opened.empty() && !entry.opened.empty();
    });
    server.reset();
    runUntil([&] {
        return !entry.closed.empty();
    });
    EXPECT_TRUE(gate.closed.empty());
    client->open(address);
    runUntil([&] {
        return entry.closed.size() == 2;
    });
}

TEST_F(LinkTest, DestroyedClientClosesTheLink)
{
    client->open(address);
    runUntil([&] {
        return !gate.opened.empty() && !entry.opened.empty();
    });
    client.reset();
    runUntil([&] {
        return !gate.closed.empty();
    });
    EXPECT_TRUE(entry.closed.empty());
}

TEST_F(LinkTest, LargeMessageIsSentAndOversizedOneIsRejected)
{
    constexpr std::size_t Large = std::size_t{15} * 1024 * 1024;
    constexpr std::size_t TooLarge = std::size_t{17} * 1024 * 1024;
    const LinkNumber link = client->open(address);
    RunCall call;
    call.body = ModelCall{ModelName{"m"}, {std::string(Large, 'x')}, 1, 2};
    EXPECT_TRUE(client->send(link, EntryToGate(call)));
    call.body = ModelCall{ModelName{"m"}, {std::string(TooLarge, 'x')}, 1, 2};
    EXPECT_FALSE(client->send(link, EntryToGate(call)));
    EXPECT_TRUE(client->send(link, probe(3)));
    runUntil([&] {
        return gate.messages.size() == 2;
    });
    const auto &got = std::get<RunCall>(std::get<EntryToGate>(gate.messages[0]));
    EXPECT_EQ(std::get<ModelCall>(got.body).messages[0].size(), Large);
    EXPECT_EQ(sequenceOf(gate.messages[1]), 3U);
    EXPECT_TRUE(entry.closed.empty());
}

TEST_F(LinkTest, PortInUseIsReported)
{
    LinkServer second(loop, address, identity("gate-2", "secret"), TlsFiles(), gate.handlers());
    Error reason;
    EXPECT_FALSE(second.listen(reason));
    EXPECT_EQ(reason.peer, address);
}

TEST_F(LinkTest, UnreadableCertificateIsReported)
{
    const TlsFiles files{"/nonexistent/cert.pem", "/nonexistent/key.pem", {}};
    LinkServer second(loop, "127.0.0.1:0", identity("gate-2", "secret"), files, gate.handlers());
    Error reason;
    EXPECT_FALSE(second.listen(reason));
    EXPECT_EQ(reason.peer, "/nonexistent/key.pem");
    LinkClient other(loop, identity("entry-b", "secret"), files, entry.handlers());
    const LinkNumber link = other.open(address);
    runUntil([&] {
        return !entry.closed.empty();
    });
    EXPECT_EQ(entry.closed, std::vector<LinkNumber>{link});
}

} // namespace

} // namespace Vanillahall
