#include "vanillahall/platform/wire_header_func.h"
#include "vanillahall/platform/wire_store_func.h"
#include "vanillahall/platform/wire_turn_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Platform {

namespace {

/** A list of customers in the configuration. */
struct CustomersCase
{
    const char *name;      ///< For the test's name.
    std::string customers; ///< Value of the list; empty for none.
    int count;             ///< Expected number of customers; -1 if the configuration is refused, -2 if it names none.
};

class Customers : public ::testing::TestWithParam<CustomersCase>
{
};

} // namespace

// A list that is read in part would refuse requests of valid customers for good, or give a key to the wrong customer.
TEST_P(Customers, AreReadOrRefusedWhole)
{
    const auto &param = GetParam();
    const std::string list = param.customers.empty() ? "" : R"(,"tenants":)" + param.customers;
    Error reason;
    const auto config = decodeConfig(R"({"version":1,"routes":[],"services":[])" + list + "}", reason);
    ASSERT_EQ(config.has_value(), param.count != -1) << reason.message;
    EXPECT_EQ(reason.message.empty(), config.has_value());
    EXPECT_EQ(reason.message.find("secret"), std::string::npos);
    if (config) {
        EXPECT_EQ(config->hasCustomers, param.count >= 0);
        EXPECT_EQ(config->customers.size(), static_cast<std::size_t>(std::max(0, param.count)));
    }
}

INSTANTIATE_TEST_SUITE_P(All,
                         Customers,
                         ::testing::Values(CustomersCase{"absent", "", -2},
                                           CustomersCase{"null", "null", -2},
                                           CustomersCase{"empty", "[]", 0},
                                           CustomersCase{"object", "{}", -1},
                                           CustomersCase{"noKeys", R"([{"name":"a"},{"name":"b","apiKeys":[]}])", 2},
                                           CustomersCase{"keyTwiceAtOne", R"([{"name":"a","apiKeys":["secret","secret"]}])", 1},
                                           CustomersCase{
                                               "keyOfTwo", R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])", -1},
                                           CustomersCase{"sameName", R"([{"name":"a"},{"name":"a"}])", -1},
                                           CustomersCase{"noName", R"([{"apiKeys":["secret"]}])", -1},
                                           CustomersCase{"noObject", R"(["a"])", -1},
                                           CustomersCase{"nameWithLineBreak", R"([{"name":"a\r\nTenant: b"}])", -1},
                                           CustomersCase{"nameWithDelete", "[{\"name\":\"a\x7f\"}]", -1},
                                           CustomersCase{"nameWithSpaceAtEnd", R"([{"name":"a "}])", -1},
                                           CustomersCase{"nameTooLong", R"([{"name":")" + std::string(201, 'a') + R"("}])", -1},
                                           CustomersCase{"oneKeyAsText", R"([{"name":"a","apiKeys":"secret"}])", -1},
                                           CustomersCase{"numberAsKey", R"([{"name":"a","apiKeys":[7]}])", -1},
                                           CustomersCase{"emptyKey", R"([{"name":"a","apiKeys":[""]}])", -1},
                                           CustomersCase{"keyWithNul", R"([{"name":"a","apiKeys":["secret\u0000"]}])", -1},
                                           CustomersCase{"oddKey", R"([{"name":"a","apiKeys":["ké y=/+"]}])", 1},
                                           CustomersCase{"negativeRank", R"([{"name":"a","priority":-1}])", -1},
                                           CustomersCase{"negativeRate", R"([{"name":"a","ratePerS":-1}])", -1},
                                           CustomersCase{"rateAsText", R"([{"name":"a","ratePerS":"5"}])", -1},
                                           CustomersCase{"negativeBurst", R"([{"name":"a","burst":-0.5}])", -1}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(CustomerFields, AreRead)
{
    Error reason;
    const auto config = decodeConfig(
        R"({"version":1,"services":[],"tenants":[{"name":"a","apiKeys":["k"],"priority":2,"ratePerS":1.5,"burst":4}],"routes":[
            {"host":"h","prefix":"/p/","kind":"idempotent","service":"s","public":true},
            {"host":"h","prefix":"/q/","kind":"idempotent","service":"s","public":"yes"}]})",
        reason);
    ASSERT_TRUE(config) << reason.message;
    const auto &[name, keys, rank, limit] = config->customers.at(0);
    EXPECT_EQ(name, "a");
    EXPECT_EQ(keys, std::vector<std::string>{"k"});
    EXPECT_EQ(rank, 2U);
    EXPECT_EQ(limit, (Forward::CustomerLimit{1.5, 4}));
    EXPECT_FALSE(config->routes[0].needsKey);
    EXPECT_TRUE(config->routes[1].needsKey);
}

TEST(CustomerHeaders, AreReadAndNeverForwardedByDefault)
{
    EXPECT_EQ(requestHeaderPolicy("credential"), HeaderPolicy::Customer);
    EXPECT_EQ(requestHeaderPolicy("TENANT"), HeaderPolicy::Customer);
    Forward::RequestAttributes attributes;
    readRequestHeader(attributes, "Tenant", " b ");
    readRequestHeader(attributes, "Credential", " k\t");
    EXPECT_EQ(attributes.claimedCustomer, "b");
    EXPECT_EQ(attributes.customerKey, "k");
    EXPECT_EQ(attributes.keyHeaders, 1U);
    readRequestHeader(attributes, "credential", "k");
    EXPECT_EQ(attributes.keyHeaders, 2U);
    std::string text;
    appendServerRequestHeaders(text, {std::chrono::milliseconds(5), "i", std::nullopt, "a", {}});
    EXPECT_EQ(text, "Deadline-Ms: 5\r\nExpect-Instance: i\r\nTenant: a\r\n");
}

// A key of over 200 bytes is refused by the store only after the turn has run.
TEST(TurnKeys, FitIntoTheStoreWithTheirOwner)
{
    const std::string owner = "0123456789abcdef.";
    EXPECT_TRUE(isTurnKey(owner + std::string(60, 'x')));
    EXPECT_TRUE(isTurnKey(owner + std::string(55, '%')));
    EXPECT_FALSE(isTurnKey(owner + std::string(56, '%')));
    EXPECT_FALSE(isTurnKey(""));
    EXPECT_TRUE(isTurnKey(std::string(60, '%')));
}

} // namespace Vanillahall::Platform
