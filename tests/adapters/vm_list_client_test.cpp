#include "vanillahall/adapters/vm_list_client_base.h"

#include "adapter_bench.h"
#include "vm_list_standin_base.h"

#include <optional>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A VM list stand-in and its client. */
struct VmListBench : AdapterBench<VmListStandin>
{
    VmListBench()
        : AdapterBench(Duration::zero())
    {
    }

    /** Changes the list with an HTTP request, as an operator of the platform does. */
    void change(const std::string &method, const std::string &name, const std::string &body)
    {
        HttpClientRequest request;
        request.address = peer.address;
        request.port = peer.port;
        request.method = method;
        request.path = "/v1/vms/" + name;
        request.body = body;
        bool done = false;
        HttpClientHandlers handlers;
        handlers.onEnd = [&done] {
            done = true;
        };
        http.send(std::move(request), std::move(handlers));
        EXPECT_TRUE(runUntil(loop, [&done] {
            return done;
        }));
    }

    std::optional<std::vector<VmListing>> read(Duration limit, Error &reason)
    {
        VmListClient client(http, peer);
        int n = 0;
        std::optional<std::vector<VmListing>> result;
        client.read(limit, [&](std::optional<std::vector<VmListing>> list, const Error &error) {
            n++;
            result = std::move(list);
            reason = error;
        });
        EXPECT_TRUE(runUntil(loop, [&n] {
            return n > 0;
        }));
        runUntilFaultIsOver(loop, lastFault);
        EXPECT_EQ(n, 1);
        return result;
    }
};

constexpr const char *LiveServer = R"({"role":"server","address":"10.0.0.1:7000","zone":"a","state":"live"})";
constexpr const char *LeavingServer = R"({"role":"server","address":"10.0.0.1:7000","zone":"a","state":"leaving"})";

} // namespace

TEST(VmListClient, ReadsEveryMember)
{
    VmListBench bench;
    bench.change("PUT", "s1", LeavingServer);
    bench.change("PUT", "e1", R"({"role":"entry","address":"10.0.0.2:7001","zone":"b","state":"live"})");
    Error reason;
    const auto list = bench.read(LongLimit, reason);
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->size(), 2U);
    const VmListing &entry = list->front();
    EXPECT_EQ(entry.name, "e1");
    EXPECT_EQ(entry.role, VmRole::Entry);
    EXPECT_EQ(entry.state, VmState::Live);
    const VmListing &server = list->back();
    EXPECT_EQ(server.role, VmRole::Server);
    EXPECT_EQ(server.address, "10.0.0.1:7000");
    EXPECT_EQ(server.zone.text, "a");
    EXPECT_EQ(server.state, VmState::Leaving);
}

TEST(VmListClient, StaleListIsAnOlderOne)
{
    VmListBench bench;
    bench.change("PUT", "s1", LiveServer);
    bench.change("PUT", "s1", LeavingServer);
    bench.setFault(R"({"kind":"stale"})");
    Error reason;
    EXPECT_EQ(bench.read(LongLimit, reason).value().front().state, VmState::Live);
    EXPECT_EQ(bench.read(LongLimit, reason).value().front().state, VmState::Leaving);
}

TEST(VmListClient, ListWithAnInvalidVmIsRejected)
{
    VmListBench bench;
    bench.change("PUT", "s1", LiveServer);
    bench.change("PUT", "s2", R"({"role":"server","address":"10.0.0.1:7000","zone":"a","state":"gone"})");
    Error reason;
    EXPECT_FALSE(bench.read(LongLimit, reason).has_value());
    EXPECT_EQ(reason.message, "unreadable list");
}

struct VmListFaultCase
{
    const char *name;  ///< Name of the case.
    const char *fault; ///< Fault of the stand-in.
    Duration limit;    ///< Time limit of the request.
    ErrorCode error;   ///< Expected error.
};

class VmListFaults : public ::testing::TestWithParam<VmListFaultCase>
{
};

TEST_P(VmListFaults, ReturnAnErrorInsteadOfAList)
{
    VmListBench bench;
    bench.change("PUT", "s1", LiveServer);
    bench.setFault(GetParam().fault);
    Error reason;
    EXPECT_FALSE(bench.read(GetParam().limit, reason).has_value());
    EXPECT_EQ(reason.code, GetParam().error);
    EXPECT_EQ(reason.peer, "peer");
}

INSTANTIATE_TEST_SUITE_P(Kinds,
                         VmListFaults,
                         ::testing::Values(VmListFaultCase{"Slow", SlowFault, ShortLimit, ErrorCode::Timeout},
                                           VmListFaultCase{"Hang", R"({"kind":"hang"})", ShortLimit, ErrorCode::Timeout},
                                           VmListFaultCase{"DropAnswer", R"({"kind":"drop_answer"})", LongLimit, ErrorCode::PeerLost},
                                           VmListFaultCase{"Reset", R"({"kind":"reset"})", LongLimit, ErrorCode::PeerLost},
                                           VmListFaultCase{"Silent", R"({"kind":"silent"})", ShortLimit, ErrorCode::Timeout},
                                           VmListFaultCase{"Refuse", R"({"kind":"refuse"})", LongLimit, ErrorCode::PeerLost},
                                           VmListFaultCase{"Down", R"({"kind":"down","ms":60000})", LongLimit, ErrorCode::PeerLost},
                                           VmListFaultCase{"Crash", R"({"kind":"crash"})", LongLimit, ErrorCode::PeerLost},
                                           VmListFaultCase{"Absent", "absent", LongLimit, ErrorCode::PeerLost}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

} // namespace Vanillahall
