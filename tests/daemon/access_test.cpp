#include "access_base.h"
#include "table/event_table.h"
#include "vanillahall/core/metrics_base.h"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A temporary tokens file with a settable modification time. */
class TokensFile
{
public:
    TokensFile()
        : m_path(::testing::TempDir() + "vanillahall-tokens-" + std::to_string(::getpid()))
    {
    }
    ~TokensFile()
    {
        std::filesystem::remove(m_path);
    }
    TokensFile(const TokensFile &) = delete;
    TokensFile &operator=(const TokensFile &) = delete;

    void write(const std::string &text, int modificationTime)
    {
        std::ofstream(m_path) << text;
        std::filesystem::last_write_time(m_path, std::filesystem::file_time_type() + std::chrono::seconds(modificationTime));
    }

    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

} // namespace

TEST(AccessTest, TokensAreReadAgainWhenTheFileChanges)
{
    TokensFile file;
    file.write("# comment\ncaller klokwerk 0123456789abcdef\n", 1);
    AccessTable table(file.path());
    Error reason;
    ASSERT_TRUE(table.refresh(reason));
    ASSERT_TRUE(table.find("0123456789abcdef").has_value());
    EXPECT_EQ(table.find("0123456789abcdef")->name, "klokwerk");
    EXPECT_FALSE(table.find("").has_value());
    EXPECT_FALSE(table.find("0123456789abcdeg").has_value());
    file.write("operator ops fedcba9876543210\n", 2);
    ASSERT_TRUE(table.refresh(reason));
    EXPECT_FALSE(table.find("0123456789abcdef").has_value());
    EXPECT_EQ(table.find("fedcba9876543210")->role, AccessRole::Operator);
}

TEST(AccessTest, AnInvalidFileChangesNothing)
{
    TokensFile file;
    file.write("caller klokwerk 0123456789abcdef\n", 1);
    AccessTable table(file.path());
    Error reason;
    ASSERT_TRUE(table.refresh(reason));
    for (const char *text : {"caller klokwerk short\n", "pilot x 0123456789abcdef\n", "caller\n"}) {
        file.write(text, 3);
        EXPECT_FALSE(table.refresh(reason));
        EXPECT_NE(reason.peer.find(":1"), std::string::npos);
        EXPECT_EQ(reason.message.find("0123456789abcdef"), std::string::npos);
        EXPECT_TRUE(table.find("0123456789abcdef").has_value());
    }
}

TEST(MetricsTest, LabelSetsAreBounded)
{
    Metrics metrics;
    constexpr int Series = 1000;
    for (int n = 0; n < Series; n++) {
        metrics.count("requests", {"customer", std::to_string(n)});
    }
    const std::string text = metrics.text();
    EXPECT_NE(text.find("requests{customer=\"other\"} 800"), std::string::npos);
    EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 210);
}

TEST(MetricsTest, HistogramsCountUpToEachBound)
{
    Metrics metrics;
    metrics.observe("wait", {"class", "a\"b"}, std::chrono::milliseconds(5));
    metrics.observe("wait", {"class", "a\"b"}, std::chrono::hours(2));
    const std::string text = metrics.text();
    EXPECT_NE(text.find("wait_bucket{class=\"a\\\"b\",le=\"0.003\"} 0"), std::string::npos);
    EXPECT_NE(text.find("wait_bucket{class=\"a\\\"b\",le=\"0.01\"} 1"), std::string::npos);
    EXPECT_NE(text.find("wait_bucket{class=\"a\\\"b\",le=\"+Inf\"} 2"), std::string::npos);
}

TEST(EventsTest, CatalogueAndTableNameTheSameEvents)
{
    std::ifstream stream(std::string(VANILLAHALL_SOURCE_DIR) + "/docs/EVENTS.md");
    ASSERT_TRUE(stream);
    const std::regex row(R"(^\| (\d+) \| `([a-z_]+)` \|.*)");
    std::set<std::pair<int, std::string>> catalogue;
    std::string line;
    std::smatch match;
    while (std::getline(stream, line)) {
        if (std::regex_match(line, match, row)) {
            catalogue.emplace(std::stoi(match[1]), match[2]);
        }
    }
    std::set<std::pair<int, std::string>> table;
    for (const auto &it : EventTable) {
        table.emplace(static_cast<int>(it.event), it.name);
    }
    EXPECT_EQ(catalogue, table);
    std::ifstream header(std::string(VANILLAHALL_SOURCE_DIR) + "/packages/core/include/vanillahall/core/log_type.h");
    const std::regex enumerator(R"(^\s+\w+ = (\d{4}),.*)");
    std::set<int> numbers;
    while (std::getline(header, line)) {
        if (std::regex_match(line, match, enumerator)) {
            numbers.insert(std::stoi(match[1]));
        }
    }
    EXPECT_EQ(numbers.size(), table.size());
}

} // namespace Vanillahall
