#include "vanillahall/core/route_table_base.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

namespace {

Config makeConfig(std::uint64_t version, const std::vector<std::pair<std::string, std::string>> &routes)
{
    Config config;
    config.version = version;
    for (const auto &[host, prefix] : routes) {
        Route route;
        route.name = host + prefix;
        route.host = host;
        route.prefix = prefix;
        route.targets = {{"one", 1}};
        config.routes.push_back(route);
    }
    return config;
}

} // namespace

/** One lookup. */
struct FindCase
{
    const char *name;  ///< For the test's name.
    const char *host;  ///< Host header.
    const char *path;  ///< Path.
    const char *route; ///< Expected route, or null.
};

class RouteFind : public ::testing::TestWithParam<FindCase>
{
};

TEST_P(RouteFind, TakesTheLongestPrefixOfTheHost)
{
    RouteTable table;
    table.apply(makeConfig(1, {{"a.example", "/"}, {"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/x/"}}));
    const auto *route = table.find(GetParam().host, GetParam().path);
    EXPECT_EQ(route == nullptr ? std::string() : route->name, GetParam().route == nullptr ? "" : GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(All,
                         RouteFind,
                         ::testing::Values(FindCase{"root", "a.example", "/z", "a.example/"},
                                           FindCase{"one", "a.example", "/x/1", "a.example/x/"},
                                           FindCase{"longest", "a.example", "/x/y/1", "a.example/x/y/"},
                                           FindCase{"caseAndPort", "A.Example:80", "/x/1", "a.example/x/"},
                                           FindCase{"noSlash", "b.example", "/x", nullptr},
                                           FindCase{"otherHost", "c.example", "/x/1", nullptr}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(RouteTable, OlderVersionIsNotApplied)
{
    RouteTable table;
    EXPECT_FALSE(table.isLoaded());
    EXPECT_TRUE(table.apply(makeConfig(5, {{"a.example", "/"}})));
    EXPECT_FALSE(table.apply(makeConfig(4, {})));
    EXPECT_FALSE(table.apply(makeConfig(5, {})));
    EXPECT_NE(table.find("a.example", "/"), nullptr);
    EXPECT_TRUE(table.apply(makeConfig(9, {})));
    EXPECT_EQ(table.find("a.example", "/"), nullptr);
}

RC_GTEST_PROP(RouteTableProperty, TheNewestVersionIsAppliedInAnyOrder, ())
{
    const std::vector<std::string> prefixes{"/", "/a/", "/a/b/", "/a/c/", "/d/"};
    RouteTable table;
    Config newest;
    const auto steps = *rc::gen::inRange(1, 12);
    for (int n = 0; n < steps; n++) {
        std::vector<std::pair<std::string, std::string>> routes;
        for (const auto &it : prefixes) {
            if (*rc::gen::arbitrary<bool>()) {
                routes.emplace_back(*rc::gen::element<std::string>("x", "y"), it);
            }
        }
        const auto config = makeConfig(*rc::gen::inRange<std::uint64_t>(1, 20), routes);
        const bool isNewer = newest.version == 0 || config.version > newest.version;
        RC_ASSERT(table.apply(config) == isNewer);
        newest = isNewer ? config : newest;
        RC_ASSERT(table.config().version == newest.version);
        const auto path = *rc::gen::element<std::string>("/", "/a/1", "/a/b/1", "/a/c/1", "/d/", "/e");
        const auto *found = table.find("x", path);
        std::string best;
        for (const auto &it : newest.routes) {
            if (it.host == "x" && path.rfind(it.prefix, 0) == 0 && it.prefix.size() > best.size()) {
                best = it.prefix;
            }
        }
        RC_ASSERT((found == nullptr ? std::string() : found->prefix) == best);
    }
}

TEST(PickService, SplitsByWeightAndStaysForAKey)
{
    Route route;
    route.targets = {{"one", 90}, {"two", 10}, {"none", 0}};
    int two = 0;
    constexpr int Keys = 2000;
    for (int n = 0; n < Keys; n++) {
        const auto key = "program-" + std::to_string(n);
        const auto first = pickService(route, key);
        ASSERT_TRUE(first);
        EXPECT_EQ(first, pickService(route, key));
        EXPECT_NE(*first, "none");
        two += *first == "two" ? 1 : 0;
    }
    EXPECT_GT(two, Keys / 20);
    EXPECT_LT(two, Keys / 5);
    route.targets = {{"none", 0}};
    EXPECT_FALSE(pickService(route, "x"));
}

} // namespace Vanillahall::Forward
