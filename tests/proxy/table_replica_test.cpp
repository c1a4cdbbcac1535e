/** Compares a replica with its table while replies are late, duplicated, outdated or without history. */
#include "table_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

namespace {

/** Model of the table with its history of changes. */
struct Table
{
    std::map<std::string, Platform::StoreRow> rows;
    std::vector<Platform::StoreRow> history;
    std::uint64_t version = 1;

    void change(const std::string &key, bool isRemoved)
    {
        if (isRemoved && rows.count(key) == 0) {
            return;
        }
        version++;
        const Platform::StoreRow row{key, isRemoved ? "" : "v" + std::to_string(version), version, isRemoved};
        history.push_back(row);
        if (isRemoved) {
            rows.erase(key);
        } else {
            rows[key] = row;
        }
    }

    [[nodiscard]] Platform::StoreRows all() const
    {
        Platform::StoreRows out;
        out.version = version;
        for (const auto &[key, row] : rows) {
            out.rows.push_back(row);
        }
        return out;
    }

    [[nodiscard]] Platform::StoreRows changesSince(std::uint64_t after) const
    {
        Platform::StoreRows out;
        out.version = version;
        for (const auto &it : history) {
            if (it.version > after) {
                out.rows.push_back(it);
            }
        }
        return out;
    }
};

bool isSame(const TableReplica &replica, const Table &table)
{
    return replica.rows().size() == table.rows.size()
        && std::equal(replica.rows().begin(), replica.rows().end(), table.rows.begin(), [](const auto &one, const auto &other) {
               return one.first == other.first && one.second.value == other.second.value && one.second.version == other.second.version;
           });
}

void changeSome(Table &table)
{
    const auto n = *rc::gen::inRange(0, 5);
    for (int i = 0; i < n; i++) {
        const auto key = *rc::gen::element<std::string>("a", "b", "c", "d");
        table.change(key, *rc::gen::arbitrary<bool>());
    }
}

} // namespace

RC_GTEST_PROP(TableReplicaProperty, FollowsTheTable, ())
{
    Table table;
    TableReplica replica;
    Platform::StoreRows old = table.all();
    const auto steps = *rc::gen::inRange(1, 30);
    for (int n = 0; n < steps; n++) {
        const auto before = table;
        changeSome(table);
        if (!replica.isComplete()) {
            // Simulates a table read in pages: its version is that of the first page, while later pages already include newer changes.
            auto parts = before.all();
            parts.rows = table.all().rows;
            const bool isOld = old.version < replica.version();
            RC_ASSERT(replica.replaceAll(*rc::gen::arbitrary<bool>() ? parts : old) || isOld);
            continue;
        }
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            replica.invalidate();
            break;
        case 1:
            old = table.all();
            break;
        default: {
            const auto changes = table.changesSince(replica.version());
            replica.applyChanges(changes);
            RC_ASSERT(isSame(replica, table));
            if (*rc::gen::arbitrary<bool>()) {
                RC_ASSERT(replica.version() == table.version);
                replica.applyChanges(changes);
                RC_ASSERT(isSame(replica, table));
            }
            break;
        }
        }
    }
}

TEST(TableReplica, AnOlderTableIsIgnored)
{
    Table table;
    table.change("a", false);
    const auto old = table.all();
    table.change("a", true);
    TableReplica replica;
    EXPECT_TRUE(replica.replaceAll(table.all()));
    EXPECT_FALSE(replica.replaceAll(old));
    EXPECT_TRUE(replica.rows().empty());
}

} // namespace Vanillahall::Forward
