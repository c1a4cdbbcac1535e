#include "vanillahall/core/crash_tracker_base.h"
#include "vanillahall/core/customer/customer_directory_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

/** A lookup of a key, and its expected result. */
struct LookupCase
{
    const char *name; ///< For the test's name.
    bool needsKey;    ///< Whether the route needs a key.
    const char *key;  ///< Key of the request.
    Duration confirmedAgo;
    bool isUnreadable;    ///< Whether a newer version was refused.
    bool failsClosed;     ///< Setting.
    std::size_t expected; ///< Position in Identification.
};

constexpr std::size_t None = 0;
constexpr std::size_t Found = 1;
constexpr std::size_t Unknown = 2;
constexpr std::size_t Uncertain = 3;
constexpr std::size_t Unconfirmed = 4;

class CustomerLookup : public ::testing::TestWithParam<LookupCase>
{
};

} // namespace

// A 401 for a valid key is an error of the system, and a removed key that works on is a leak.
TEST_P(CustomerLookup, TellsWhatIsCertain)
{
    const auto &param = GetParam();
    CustomerDirectory directory({param.failsClosed, 5s});
    Config config;
    config.hasCustomers = true;
    config.customers = {{"a", {"k1", "k2"}, 1, {}}, {"b", {"k3"}, 0, {}}};
    directory.apply(config);
    EXPECT_EQ(directory.keyCount(), 3U);
    EXPECT_EQ(directory.identify(param.needsKey, param.key, {param.confirmedAgo, param.isUnreadable}).index(), param.expected);
}

INSTANTIATE_TEST_SUITE_P(All,
                         CustomerLookup,
                         ::testing::Values(LookupCase{"known", true, "k2", 1s, false, false, Found},
                                           LookupCase{"knownOnPublicRoute", false, "k3", 1s, false, false, Found},
                                           LookupCase{"unknown", true, "k4", 2s, false, false, Unknown},
                                           LookupCase{"prefix", true, "k", 1s, false, false, Unknown},
                                           LookupCase{"missing", true, "", 1s, false, false, Unknown},
                                           LookupCase{"missingOnPublicRoute", false, "", 9s, false, true, None},
                                           LookupCase{"unknownOnPublicRoute", false, "k4", 1s, false, false, None},
                                           LookupCase{"unknownInOldConfig", true, "k4", 2001ms, false, false, Uncertain},
                                           LookupCase{"unknownBesideUnreadable", true, "k4", 1s, true, false, Uncertain},
                                           LookupCase{"knownBesideUnreadable", true, "k1", 1s, true, true, Found},
                                           LookupCase{"knownInOldConfig", true, "k1", 1h, false, false, Found},
                                           LookupCase{"knownJustConfirmed", true, "k1", 5s, false, true, Found},
                                           LookupCase{"knownUnconfirmed", true, "k1", 5001ms, false, true, Unconfirmed},
                                           LookupCase{"unconfirmedOnPublicRoute", false, "k1", 6s, false, true, Unconfirmed},
                                           LookupCase{"neverConfirmed", true, "k1", Duration::max(), false, true, Unconfirmed}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(CustomerDirectory, FollowsTheConfiguration)
{
    CustomerDirectory directory;
    EXPECT_TRUE(std::holds_alternative<NoCustomer>(directory.identify(true, "k", {})));
    Config config;
    config.hasCustomers = true;
    config.customers = {{"a", {"k"}, 0, {}}};
    directory.apply(config);
    EXPECT_EQ(std::get<CustomerIdentity>(directory.identify(true, "k", {})).name, "a");
    config.customers = {{"b", {"k"}, 3, {2, 1}}};
    directory.apply(config);
    const auto moved = std::get<CustomerIdentity>(directory.identify(true, "k", {}));
    EXPECT_EQ(moved.name, "b");
    EXPECT_EQ(moved.rank, 3U);
    config.customers.clear();
    directory.apply(config);
    EXPECT_TRUE(std::holds_alternative<UnknownKey>(directory.identify(true, "k", {})));
}

// A request without a customer could name the stored key of a customer's turn.
TEST(OwnedKey, KeepsCustomersApart)
{
    const auto a = ownerPrefix("a");
    EXPECT_EQ(a.size(), 17U);
    EXPECT_EQ(ownerOf(a + "t"), a);
    EXPECT_NE(ownedKey(a, "t"), ownedKey(ownerPrefix("b"), "t"));
    EXPECT_EQ(ownedKey("", "t"), "t");
    EXPECT_EQ(ownedKey(a, ""), "");
    for (const auto &id : {std::string("t"), a + "t", ownedKey("", a + "t")}) {
        EXPECT_EQ(idOfKey(ownedKey(a, id)), id);
        EXPECT_EQ(idOfKey(ownedKey("", id)), id);
        EXPECT_NE(ownedKey("", id), a + "t");
    }
    EXPECT_EQ(contentHash("POST", "/p", "", "x"), contentHash("POST", "/p", "", "x", ""));
    EXPECT_NE(contentHash("POST", "/p", "", "x", a), contentHash("POST", "/p", "", "x"));
}

} // namespace Vanillahall::Forward
