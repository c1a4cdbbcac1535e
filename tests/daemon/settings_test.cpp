#include "settings_func.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

constexpr const char *ValidEntry = R"([process]
role = entry
name = entry-1
zone = zone-a
[link]
listen = 127.0.0.1:0
key_file = /tmp/key
[entry]
listen = [::1]:8080
tokens_file = /tmp/tokens
[platform]
store = 10.0.0.1:80
vm_list = 10.0.0.2:80
)";

Settings read(const std::string &text, std::vector<SettingsError> &errors, const std::vector<std::string> &overrides = {})
{
    auto lines = splitSettings("test.ini", text, errors);
    for (const auto &it : overrides) {
        const auto line = splitOverride(it, errors);
        if (line) {
            lines.push_back(*line);
        }
    }
    return readSettings("test.ini", lines, errors);
}

} // namespace

TEST(SettingsTest, ValidFileIsRead)
{
    std::vector<SettingsError> errors;
    const Settings settings = read(ValidEntry, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(settings.role, Role::Entry);
    EXPECT_EQ(settings.entryListen.address, "::1");
    EXPECT_EQ(settings.entryListen.port, 8080);
}

/** A value of proxy.admission. */
struct AdmissionValue
{
    const char *name;         ///< For the test's name.
    const char *value;        ///< As written in the settings.
    std::optional<bool> isOn; ///< Expected setting; nothing if the value is refused.
};

class AdmissionSetting : public ::testing::TestWithParam<AdmissionValue>
{
};

TEST_P(AdmissionSetting, IsOnOrOff)
{
    std::vector<SettingsError> errors;
    const Settings settings = read(ValidEntry, errors, {std::string("proxy.admission=") + GetParam().value});
    EXPECT_EQ(errors.empty(), GetParam().isOn.has_value());
    EXPECT_EQ(settings.restrictsAdmission, GetParam().isOn.value_or(false));
}

INSTANTIATE_TEST_SUITE_P(All,
                         AdmissionSetting,
                         ::testing::Values(AdmissionValue{"on", "on", true},
                                           AdmissionValue{"off", "off", false},
                                           AdmissionValue{"other", "yes", {}}),
                         [](const auto &it) {
                             return it.param.name;
                         });

/** A value of proxy.grace_s. */
struct GraceCase
{
    const char *name;               ///< For the test's name.
    const char *value;              ///< Value in the settings.
    std::optional<Duration> period; ///< Expected period; nothing if the value is refused.
};

class GracePeriod : public ::testing::TestWithParam<GraceCase>
{
};

TEST_P(GracePeriod, IsANumberOfSeconds)
{
    std::vector<SettingsError> errors;
    const Settings settings = read(ValidEntry, errors, {std::string("proxy.grace_s=") + GetParam().value});
    EXPECT_EQ(errors.empty(), GetParam().period.has_value());
    EXPECT_EQ(settings.proxyGracePeriod, GetParam().period);
}

INSTANTIATE_TEST_SUITE_P(All,
                         GracePeriod,
                         ::testing::Values(GraceCase{"whole", "8", std::chrono::seconds(8)},
                                           GraceCase{"fraction", "0.4", std::chrono::milliseconds(400)},
                                           GraceCase{"zero", "0", std::nullopt},
                                           GraceCase{"negative", "-1", std::nullopt},
                                           GraceCase{"tooLong", "1e9", std::nullopt},
                                           GraceCase{"unit", "8s", std::nullopt},
                                           GraceCase{"text", "long", std::nullopt}),
                         [](const auto &it) {
                             return it.param.name;
                         });

TEST(SettingsTest, ValidityOfApiKeysIsRead)
{
    std::vector<SettingsError> errors;
    const Settings settings = read(ValidEntry, errors, {"proxy.fail_closed=True", "proxy.revoke_ms=700"});
    EXPECT_TRUE(errors.empty());
    EXPECT_TRUE(settings.proxyFailsClosed);
    EXPECT_EQ(settings.proxyRevocationTime, std::chrono::milliseconds(700));
    EXPECT_FALSE(read(ValidEntry, errors, {"proxy.fail_closed=false"}).proxyFailsClosed);
    EXPECT_TRUE(errors.empty());
    read(ValidEntry, errors, {"proxy.fail_closed=yes", "proxy.revoke_ms=0"});
    EXPECT_EQ(errors.size(), 2U);
}

TEST(SettingsTest, OverrideWinsOverFile)
{
    std::vector<SettingsError> errors;
    const Settings settings = read(ValidEntry, errors, {"lease.time_ms=5000", "process.name=other"});
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(settings.leaseTime, std::chrono::seconds(5));
    EXPECT_EQ(settings.name, "other");
}

TEST(SettingsTest, AllErrorsAreReportedWithFileAndLine)
{
    std::vector<SettingsError> errors;
    read("[process]\nrole = pilot\nnmae = x\nzone\n", errors);
    std::vector<std::string> texts;
    std::transform(errors.begin(), errors.end(), std::back_inserter(texts), [](const auto &it) {
        return toText(it);
    });
    const auto has = [&texts](const std::string &start) {
        return std::any_of(texts.begin(), texts.end(), [&start](const auto &it) {
            return it.rfind(start, 0) == 0;
        });
    };
    EXPECT_TRUE(has("test.ini:2: [process] role: expected entry, gate or proxy"));
    EXPECT_TRUE(has("test.ini:3: [process] nmae: expected a known key"));
    EXPECT_TRUE(has("test.ini:4: [process] zone: expected [section], key = value"));
    EXPECT_TRUE(has("test.ini: [link] key_file: expected"));
    EXPECT_TRUE(has("test.ini: [platform] store: expected"));
}

/** An invalid override, and the key that the error must name. */
struct BadLine
{
    const char *line; ///< Override, "section.key=value".
    const char *key;  ///< Key named by the error.
};

class BadSettings : public ::testing::TestWithParam<BadLine>
{
};

TEST_P(BadSettings, AreRefusedByName)
{
    std::vector<SettingsError> errors;
    read(ValidEntry, errors, {GetParam().line});
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors.front().key, GetParam().key);
    EXPECT_EQ(errors.front().message.rfind("expected", 0), 0U);
}

INSTANTIATE_TEST_SUITE_P(Lines,
                         BadSettings,
                         ::testing::Values(BadLine{"entry.listen=localhost:80", "listen"},
                                           BadLine{"entry.listen=10.0.0.1", "listen"},
                                           BadLine{"entry.listen=10.0.0.1:70000", "listen"},
                                           BadLine{"lease.time_ms=0", "time_ms"},
                                           BadLine{"lease.time_ms=-1", "time_ms"},
                                           BadLine{"lease.time_ms=1s", "time_ms"},
                                           BadLine{"lease.renew_interval_ms=2000", "renew_interval_ms"},
                                           BadLine{"entry.certificate=/tmp/c", "private_key"},
                                           BadLine{"log.level=loud", "level"},
                                           BadLine{"proxy.placement=random", "placement"},
                                           BadLine{"proxy.operator_listen=here", "operator_listen"},
                                           BadLine{"proxy.tokens_file=/tmp/tokens", "operator_listen"},
                                           BadLine{"gate.slots=none", "slots"},
                                           BadLine{"process.colour=red", "colour"},
                                           BadLine{"role", "role"}));

/** A settings file under examples/. */
class ExampleSettings : public ::testing::TestWithParam<const char *>
{
};

TEST_P(ExampleSettings, AreAccepted)
{
    std::ifstream stream(std::string(VANILLAHALL_SOURCE_DIR) + "/examples/" + GetParam());
    ASSERT_TRUE(stream);
    std::ostringstream text;
    text << stream.rdbuf();
    std::vector<SettingsError> errors;
    read(text.str(), errors);
    for (const auto &it : errors) {
        ADD_FAILURE() << toText(it);
    }
}

INSTANTIATE_TEST_SUITE_P(Files,
                         ExampleSettings,
                         ::testing::Values("klokwerk/entry.ini",
                                           "klokwerk/model-gate.ini",
                                           "klokwerk/service-gate.ini",
                                           "larranaga/entry.ini",
                                           "larranaga/model-gate.ini",
                                           "larranaga/service-gate.ini"));

/** A tolerance of 0 must not be mistaken for a missing setting, nor a text for a number. */
TEST(SettingsTest, QuotaToleranceMayBeZeroButNotNegative)
{
    for (const char *key : {"proxy.quota_overrun=", "proxy.quota_slack="}) {
        for (const auto &[value, isValid] :
             {std::pair("0", true), {"0.5", true}, {"-1", false}, {"nan", false}, {"1x", false}, {"", false}}) {
            std::vector<SettingsError> errors;
            const Settings settings = read(ValidEntry, errors, {std::string(key) + value});
            EXPECT_EQ(errors.empty(), isValid) << key << value;
            EXPECT_EQ(settings.proxyQuotaOverrun.has_value() || settings.proxyQuotaSlack.has_value(), isValid);
        }
    }
}

/** A share over half of the budget, or one that no other proxy can be asked for, would refuse programs that go on without it. */
TEST(SettingsTest, OutageShareIsAtMostHalfAndNeedsOtherProxies)
{
    const std::string proxy = "process.role=proxy";
    for (const auto &[value, peers, isValid] : {std::tuple("0", "", true),
                                                std::tuple("50", "proxy.peer_listen=127.0.0.1:9000", true),
                                                std::tuple("51", "proxy.peer_listen=127.0.0.1:9000", false),
                                                std::tuple("-1", "proxy.peer_listen=127.0.0.1:9000", false),
                                                std::tuple("50", "", false)}) {
        std::vector<SettingsError> errors;
        std::vector<std::string> changes{proxy,
                                         "proxy.listen=127.0.0.1:9001",
                                         "proxy.ready_listen=127.0.0.1:9002",
                                         "platform.store=127.0.0.1:9003",
                                         std::string("proxy.outage_budget_percent=") + value};
        if (*peers != '\0') {
            changes.emplace_back(peers);
        }
        read(ValidEntry, errors, changes);
        EXPECT_EQ(errors.empty(), isValid) << value << ' ' << peers;
    }
}

TEST(SettingsTest, OperationsPageContainsTheSettingsReference)
{
    std::ifstream stream(std::string(VANILLAHALL_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::ostringstream page;
    page << stream.rdbuf();
    EXPECT_NE(page.str().find(settingsReference()), std::string::npos);
}

} // namespace Vanillahall
