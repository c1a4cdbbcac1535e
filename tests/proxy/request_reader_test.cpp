#include "connection_tokens.h"
#include "event_splitter.h"
#include "request_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr const char *TwoRequests = "POST /a/1?x=y HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbody"
                                    "POST /a/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n";

/** Feeds `text` to a reader in pieces that end at the given offsets. @return Requests read. */
std::vector<ClientRequest> readAll(const std::string &text, const std::vector<std::size_t> &splits, bool &isInvalid)
{
    RequestReader reader;
    std::vector<ClientRequest> requests;
    std::string in;
    std::size_t from = 0;
    isInvalid = false;
    for (std::size_t n = 0; n <= splits.size() && !isInvalid; n++) {
        const std::size_t to = n == splits.size() ? text.size() : std::max(from, splits[n] % (text.size() + 1));
        in += text.substr(from, to - from);
        from = to;
        auto progress = reader.read(in, {}, TimePoint{});
        while (progress == RequestReader::Progress::Complete) {
            requests.push_back(reader.takeRequest());
            progress = reader.read(in, {}, TimePoint{});
        }
        isInvalid = progress == RequestReader::Progress::Invalid;
    }
    return requests;
}

} // namespace

RC_GTEST_PROP(RequestReaderProperty, FragmentationDoesNotMatter, (std::vector<std::size_t> splits))
{
    std::sort(splits.begin(), splits.end());
    bool isInvalid = false;
    const auto requests = readAll(TwoRequests, splits, isInvalid);
    RC_ASSERT(!isInvalid);
    RC_ASSERT(requests.size() == 2U);
    RC_ASSERT(requests[0].target == "/a/1?x=y");
    RC_ASSERT(requests[0].body == "body");
    RC_ASSERT(requests[0].attributes.requestId == "r1");
    RC_ASSERT(requests[1].body == "abcd");
}

RC_GTEST_PROP(RequestReaderProperty, CorruptBytesNeverYieldMalformedRequests, ())
{
    std::string text = TwoRequests;
    const auto corruptions = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, std::string(TwoRequests).size()), rc::gen::arbitrary<char>()));
    for (const auto &[at, byte] : corruptions) {
        text[at] = byte;
    }
    bool isInvalid = false;
    const auto requests = readAll(text, {}, isInvalid);
    for (const auto &it : requests) {
        RC_ASSERT(!it.target.empty());
        RC_ASSERT(it.target.front() == '/');
        RC_ASSERT(it.headers.find("\n\n") == std::string::npos);
        RC_ASSERT(it.headers.find("\r\n\r\n") == std::string::npos);
    }
}

RC_GTEST_PROP(EventSplitterProperty, EventsAreCompleteAndNoneIsLost, (const std::vector<std::uint8_t> &pieces))
{
    std::string text;
    constexpr int Events = 9;
    for (int n = 1; n <= Events; n++) {
        text += "id: " + std::to_string(n) + "\ndata: " + std::string(static_cast<std::size_t>(n), 'x') + "\n\n";
    }
    EventSplitter splitter;
    std::string out;
    std::uint32_t count = 0;
    std::size_t at = 0;
    for (const auto it : pieces) {
        const auto events = splitter.append(text.substr(at, it), std::nullopt);
        at = std::min(text.size(), at + it);
        const bool isWhole = events.bytes.empty() || events.bytes.rfind("\n\n") == events.bytes.size() - 2;
        RC_ASSERT(isWhole);
        out += events.bytes;
        count += events.count;
    }
    const auto last = splitter.append(text.substr(at), std::nullopt);
    RC_ASSERT(out + last.bytes == text);
    RC_ASSERT(count + last.count == static_cast<std::uint32_t>(Events));
    RC_ASSERT(splitter.takePartialEvent().empty());
}

TEST(EventSplitter, DetectsAnOverlongEvent)
{
    EventSplitter splitter;
    splitter.append(std::string(MaxEventBytes, 'x'), std::nullopt);
    EXPECT_FALSE(splitter.hasOverlongEvent());
    splitter.append("x", std::nullopt);
    EXPECT_TRUE(splitter.hasOverlongEvent());
}

TEST(EventSplitter, SkipsEventsThatTheClientHas)
{
    EventSplitter splitter;
    const auto events = splitter.append("id: 1\n\nid: 2\r\ndata: a\r\n\r\nid: 3\n\ntorn", 1);
    EXPECT_EQ(events.bytes, "id: 2\r\ndata: a\r\n\r\nid: 3\n\n");
    EXPECT_EQ(events.firstId, 2U);
    EXPECT_EQ(events.lastId, 3U);
    EXPECT_EQ(splitter.takePartialEvent(), "torn");
}

/** A head with Connection fields. */
struct ConnectionFieldCase
{
    const char *name;    ///< For the test's name.
    const char *fields;  ///< Fields besides Host and the request id.
    const char *headers; ///< Expected fields to forward, besides Host and the request id.
};

class ConnectionField : public ::testing::TestWithParam<ConnectionFieldCase>
{
};

// Only the first Connection field was read, so that fields named by others were forwarded to the server.
TEST_P(ConnectionField, FieldsItNamesAreNotForwarded)
{
    const auto &param = GetParam();
    bool isInvalid = false;
    const auto requests = readAll("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n" + std::string(param.fields) + "\r\n", {}, isInvalid);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].headers, "Host: h\r\nRequest-Id: r\r\n" + std::string(param.headers));
}

INSTANTIATE_TEST_SUITE_P(All,
                         ConnectionField,
                         ::testing::Values(ConnectionFieldCase{"none", "a: 1\r\n", "a: 1\r\n"},
                                           ConnectionFieldCase{"one", "Connection: A, b\r\na: 1\r\nb: 2\r\nc: 3\r\n", "c: 3\r\n"},
                                           ConnectionFieldCase{
                                               "several", "Connection: a\r\nc: 3\r\nB: 2\r\nConnection: close, b\r\na: 1\r\n", "c: 3\r\n"},
                                           ConnectionFieldCase{"requestId", "Connection: Request-Id\r\n", ""}),
                         [](const auto &it) {
                             return it.param.name;
                         });

namespace {

/** Counts comparisons of names. */
struct CountingLess
{
    bool operator()(boost::beast::string_view left, boost::beast::string_view right) const
    {
        ++*count;
        return NameLess()(left, right);
    }

    std::size_t *count;
};

} // namespace

// A head with many tokens and many fields took time that grew with the product of both, and a few of them blocked the process.
TEST(ConnectionTokens, ComparisonsGrowWithTheSizeOfTheHead)
{
    constexpr std::size_t Tokens = 3900;
    constexpr std::size_t Fields = 1900;
    constexpr std::size_t ComparisonsPerName = 40; // Twice the binary logarithm of Tokens and more, for sorting and for searching.
    boost::beast::http::fields head;
    std::string list = "x";
    for (std::size_t n = 1; n < Tokens; n++) {
        list += "," + std::to_string(n * 7919 % Tokens);
    }
    head.insert(boost::beast::http::field::connection, list);
    std::size_t count = 0;
    const ConnectionTokens tokens(head, CountingLess{&count});
    for (std::size_t n = 0; n < Fields; n++) {
        EXPECT_FALSE(tokens.contains("b"));
    }
    EXPECT_TRUE(tokens.contains("X"));
    EXPECT_LT(count, ComparisonsPerName * (Tokens + Fields));
}

} // namespace Vanillahall::Forward
