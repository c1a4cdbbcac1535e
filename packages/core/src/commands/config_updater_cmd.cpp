#include "vanillahall/core/config_updater_base.h"

#include "vanillahall/core/error_func.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration RetryAfter = std::chrono::seconds(2); ///< Retry-After given to operators while the store is unavailable.

/** Inserts an item into a list sorted by name, or replaces the item of the same name. */
template<typename Item>
void insertOrReplace(std::vector<Item> &items, const Item &item)
{
    const auto it = std::lower_bound(items.begin(), items.end(), item, [](const Item &a, const Item &b) {
        return a.name < b.name;
    });
    if (it != items.end() && it->name == item.name) {
        *it = item;
    } else {
        items.insert(it, item);
    }
}

ConfigRow applyChange(ConfigRow row, const ConfigChangeRequest &request, WallTime at, std::uint32_t historyLength)
{
    row.version.value++;
    if (const auto *target = std::get_if<ClassTarget>(&request.change)) {
        insertOrReplace(row.classes, *target);
    } else {
        insertOrReplace(row.servers, std::get<ServerDeclaration>(request.change));
    }
    row.history.push_back({row.version, request.operatorName, at, request.change, request.requestNumber});
    if (row.history.size() > historyLength) {
        row.history.erase(row.history.begin());
    }
    return row;
}

const ConfigChange *findChange(const ConfigRow &row, std::uint64_t requestNumber)
{
    for (const auto &it : row.history) {
        if (it.requestNumber == requestNumber) {
            return &it;
        }
    }
    return nullptr;
}

} // namespace

RowKey configKey()
{
    return RowKey{"config/head"};
}

ConfigUpdater::ConfigUpdater(ConfigUpdaterSettings settings)
    : m_settings(std::move(settings))
{
}

const ConfigRow &ConfigUpdater::newest() const
{
    return m_newest;
}

void ConfigUpdater::change(RequestId request, ConfigChangeRequest body, Now now, ConfigUpdaterOutput &out)
{
    m_pending.push_back({request, std::move(body), now.steady + m_settings.changeTimeLimit});
    if (!m_storeRequest) {
        readRow(out);
    }
}

void ConfigUpdater::sendRequest(StoreRequest body, ConfigUpdaterOutput &out)
{
    m_storeRequest = out.nextRequest;
    out.store.push_back({out.nextRequest, std::move(body), m_settings.storeTimeLimit});
    out.nextRequest.value++;
}

void ConfigUpdater::readRow(ConfigUpdaterOutput &out)
{
    if (!m_pending.empty()) {
        sendRequest(StoreGet{configKey()}, out);
    }
}

void ConfigUpdater::finish(ConfigAnswer answer, ConfigUpdaterOutput &out)
{
    out.replies.push_back({m_pending.front().request, std::move(answer)});
    m_pending.pop_front();
    m_writtenRow.reset();
    readRow(out);
}

bool ConfigUpdater::onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ConfigUpdaterOutput &out)
{
    if (!m_storeRequest || *m_storeRequest != request) {
        return false;
    }
    m_storeRequest.reset();
    if (const auto *rows = std::get_if<StoreRows>(&answer)) {
        onRowRead(*rows, now, out);
    } else if (std::holds_alternative<StoreDone>(answer)) {
        m_newest = *m_writtenRow;
        finish(ConfigAccepted{m_newest.version}, out);
    } else {
        // After a conflict or a failure only the current row shows whether the write took effect.
        tick(now, out);
        if (!m_storeRequest) {
            readRow(out);
        }
    }
    return true;
}

void ConfigUpdater::onRowRead(const StoreRows &rows, Now now, ConfigUpdaterOutput &out)
{
    ConfigRow current;
    RowVersion rowVersion;
    if (!rows.rows.empty()) {
        const auto *row = std::get_if<ConfigRow>(&rows.rows.front().value);
        if (row == nullptr) {
            finish(notRun(ErrorCode::Internal, Step::Configure, m_settings.self, "the configuration row has another form"), out);
            return;
        }
        current = *row;
        rowVersion = rows.rows.front().version;
    }
    if (current.version > m_newest.version) {
        m_newest = current;
    }
    const Pending &pending = m_pending.front();
    if (const ConfigChange *done = findChange(current, pending.body.requestNumber)) {
        finish(ConfigAccepted{done->version}, out);
        return;
    }
    if (pending.body.expected != current.version) {
        finish(ConfigConflict{current}, out);
        return;
    }
    writeRow(current, rowVersion, now, out);
}

void ConfigUpdater::writeRow(const ConfigRow &current, RowVersion rowVersion, Now now, ConfigUpdaterOutput &out)
{
    m_writtenRow = applyChange(current, m_pending.front().body, now.wall, m_settings.historyLength);
    m_pending.front().written = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({configKey(), rowVersion});
    transaction.puts.push_back({configKey(), *m_writtenRow});
    sendRequest(std::move(transaction), out);
}

void ConfigUpdater::tick(Now now, ConfigUpdaterOutput &out)
{
    while (!m_pending.empty() && m_pending.front().deadline <= now.steady) {
        Error error = notRun(ErrorCode::StoreUnavailable, Step::Configure, m_settings.self, "the platform's store doesn't answer");
        error.run = m_pending.front().written ? RunState::Unknown : RunState::NotRun;
        error.retryAfter = RetryAfter;
        m_storeRequest.reset();
        finish(std::move(error), out);
    }
}

} // namespace Vanillahall
