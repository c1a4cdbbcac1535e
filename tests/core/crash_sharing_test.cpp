/** Contents that crash servers, sent through many proxies while the store is in trouble; in made-up time. */
#include "crash_records.h"

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Settled = 3s; ///< After the third crash, and after a fault of the store, all proxies know the content by then.
constexpr std::size_t AllowedLater = 3;

/** How the store answers during its fault. */
enum class StoreFault : std::uint8_t {
    None,        ///< No fault.
    Refuses,     ///< Nothing is done.
    LosesReply,  ///< Writes are done, but not answered; reads aren't answered.
    RefusesSome, ///< Every other call is refused.
};

struct SharingRun
{
    const char *name;    ///< For the test's name.
    std::size_t proxies; ///< Number of proxies.
    StoreFault fault;    ///< Fault from 1 s to 6 s.
    Duration requestGap; ///< Interval between two requests with the content.
    bool restarts;       ///< True if each proxy is restarted once after the fault, between 8 s and 10 s.
};

/** Proxies and the records that they share. */
class CrashSharing : public ::testing::TestWithParam<SharingRun>
{
protected:
    static constexpr Duration Tick = 100ms;
    static constexpr Duration FaultFrom = 1s;
    static constexpr Duration FaultTo = 6s;
    static constexpr Duration ReadInterval = 2s;     ///< Slowest delivery of the records; usually a change arrives at once.
    static constexpr Duration RetryInterval = 400ms; ///< The same after a failed read.

    /** @return True if the store executes a call; `isAnswered` tells whether the reply arrives. */
    bool executes(TimePoint now, bool &isAnswered)
    {
        const auto age = now - Start;
        const bool isFaulty = age >= FaultFrom && age < FaultTo;
        const auto fault = isFaulty ? GetParam().fault : StoreFault::None;
        m_calls++;
        isAnswered = fault == StoreFault::None || (fault == StoreFault::RefusesSome && m_calls % 2 == 0);
        return isAnswered || fault == StoreFault::LosesReply;
    }

    /** Does what a proxy does periodically. */
    void runProxy(std::size_t n, TimePoint now)
    {
        auto &tracker = m_trackers[n];
        bool isAnswered = false;
        for (auto batch = tracker.beginShare(now); !batch.empty(); batch = tracker.beginShare(now)) {
            if (executes(now, isAnswered)) {
                for (const auto &it : batch) {
                    m_records[{n, it.record.serial}] = it;
                }
            }
            tracker.endShare(isAnswered, now);
        }
        auto &nextReadAt = m_nextReadAt[n];
        if (now < nextReadAt) {
            return;
        }
        executes(now, isAnswered);
        nextReadAt = now + (isAnswered ? ReadInterval : RetryInterval);
        if (!isAnswered) {
            return;
        }
        std::vector<CrashEvidence> records;
        for (const auto &[key, record] : m_records) {
            if (key.first != n) {
                records.push_back(record);
            }
        }
        tracker.updateShared(std::move(records), now);
    }

    std::map<std::size_t, CrashTracker> m_trackers;
    std::map<std::pair<std::size_t, std::uint64_t>, CrashEvidence> m_records; ///< By proxy and serial number.
    std::map<std::size_t, TimePoint> m_nextReadAt;                            ///< When a proxy reads the records next.
    std::size_t m_calls = 0;
};

} // namespace

// A content that crashed three servers was sent to many more, since each proxy knew of its own crashes only.
TEST_P(CrashSharing, AContentReachesFewServersOnceItIsKnown)
{
    const auto &param = GetParam();
    constexpr std::uint64_t Content = 7;
    std::mt19937 random(29);
    std::size_t sent = 0;
    std::size_t sentLater = 0;
    TimePoint thirdCrashAt = TimePoint::max();
    TimePoint nextRequestAt = Start + 500ms;
    std::size_t restarted = 0;
    for (auto now = Start; now < Start + 30s; now += Tick) {
        for (std::size_t n = 0; n < param.proxies; n++) {
            runProxy(n, now);
        }
        if (param.restarts && now >= Start + 8s && restarted < param.proxies) {
            // A new process has another name, and records of the old one count as those of another process.
            const auto old = restarted++;
            m_trackers.erase(old);
            m_nextReadAt.erase(old);
            std::map<std::pair<std::size_t, std::uint64_t>, CrashEvidence> renamed;
            for (const auto &[key, record] : m_records) {
                renamed[{key.first == old ? old + param.proxies : key.first, key.second}] = record;
            }
            m_records = renamed;
        }
        if (now < nextRequestAt) {
            continue;
        }
        nextRequestAt = now + param.requestGap;
        const std::size_t n = random() % param.proxies;
        if (isRefused(m_trackers[n], Content, now)) {
            continue;
        }
        sent++;
        const bool isSettled = param.fault == StoreFault::None || now >= Start + FaultTo + Settled;
        sentLater += thirdCrashAt != TimePoint::max() && now > thirdCrashAt + Settled && isSettled ? 1 : 0;
        m_trackers[n].recordCrash(crashOf(Content, now), now);
        thirdCrashAt = sent == CrashLimit ? now : thirdCrashAt;
        runProxy(n, now);
    }
    EXPECT_GE(sent, CrashLimit);
    EXPECT_LE(sentLater, AllowedLater);
}

INSTANTIATE_TEST_SUITE_P(All,
                         CrashSharing,
                         ::testing::Values(SharingRun{"oneProxy", 1, StoreFault::None, 100ms, false},
                                           SharingRun{"oneProxyStoreRefuses", 1, StoreFault::Refuses, 100ms, false},
                                           SharingRun{"nine", 9, StoreFault::None, 400ms, false},
                                           SharingRun{"nineStoreRefuses", 9, StoreFault::Refuses, 200ms, false},
                                           SharingRun{"nineStoreLosesReplies", 9, StoreFault::LosesReply, 200ms, false},
                                           SharingRun{"nineStoreRefusesSome", 9, StoreFault::RefusesSome, 200ms, false},
                                           SharingRun{"nineRestarted", 9, StoreFault::Refuses, 200ms, true},
                                           SharingRun{"manyStoreRefuses", 127, StoreFault::Refuses, 100ms, false},
                                           SharingRun{"manyRestarted", 127, StoreFault::LosesReply, 100ms, true}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A server that ended broke all its requests, and each was a write of its own: too many for one part of the store.
TEST(CrashSharingLoad, AServerWithManyRequestsCostsFewWrites)
{
    CrashTracker tracker;
    constexpr std::uint64_t Requests = 60;
    tracker.recordCrash(crashOf(1, Start), Start);
    ASSERT_FALSE(tracker.beginShare(Start).empty());
    for (std::uint64_t n = 2; n <= Requests; n++) {
        tracker.recordCrash(crashOf(n, Start), Start);
        EXPECT_TRUE(tracker.beginShare(Start).empty()) << "only one write at a time";
    }
    tracker.endShare(true, Start);
    EXPECT_EQ(tracker.beginShare(Start).size(), Requests - 1);
    tracker.endShare(true, Start);
    EXPECT_EQ(tracker.unsharedCount(), 0U);
}

TEST(CrashSharingLoad, WaitingRecordsAreBoundedAndWrittenInParts)
{
    CrashTracker tracker;
    for (std::uint64_t n = 0; n < MaxUnsharedCrashes + 50; n++) {
        tracker.recordCrash(crashOf(n + 1, Start), Start);
    }
    EXPECT_EQ(tracker.unsharedCount(), MaxUnsharedCrashes);
    const auto batch = tracker.beginShare(Start);
    ASSERT_EQ(batch.size(), MaxSharedCrashes);
    EXPECT_EQ(batch.front().record.content, 51U);
}

TEST(CrashSharingWrite, IsRepeatedAfterAFailureAndAtOnceWhenTheStoreIsBack)
{
    CrashTracker tracker;
    tracker.recordCrash(crashOf(7, Start), Start);
    ASSERT_FALSE(tracker.beginShare(Start).empty());
    tracker.endShare(false, Start);
    EXPECT_TRUE(tracker.beginShare(Start + CrashRetryInterval - 1ms).empty());
    tracker.onStoreBack(Start + 1ms);
    const auto batch = tracker.beginShare(Start + 1ms);
    ASSERT_EQ(batch.size(), 1U);
    EXPECT_EQ(batch.front().record, (CrashRecord{7, 1}));
    EXPECT_EQ(batch.front().latest, Start);
}

TEST(CrashSharingWrite, OfAContentThatIsHarmlessIsTakenBack)
{
    CrashTracker tracker;
    tracker.recordCrash(crashOf(7, Start), Start);
    ASSERT_FALSE(tracker.beginShare(Start).empty());
    tracker.recordCrash(crashOf(7, Start), Start);
    // The removal of a record whose write is under way has to come after that write.
    EXPECT_EQ(tracker.recordSuccess({{FeatureKind::Content, 7}}, Start, Start), (std::vector<CrashRecord>{{7, 2}}));
    EXPECT_EQ(tracker.endShare(false, Start), (std::vector<CrashRecord>{{7, 1}}));
    EXPECT_EQ(tracker.unsharedCount(), 0U);
    EXPECT_EQ(tracker.recordCount(7), 0U);
}

} // namespace Vanillahall::Forward
