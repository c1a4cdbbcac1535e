#include "entry_gate_func.h"
#include "entry_peer_func.h"
#include "entry_route_func.h"
#include "vanillahall/core/config_updater_base.h"

namespace Vanillahall {

namespace {

constexpr Duration FirstConfigDelay = std::chrono::milliseconds(200); ///< Time between tries before the configuration is known.

void takeConfig(EntryState &entry, const ConfigRow &row)
{
    if (entry.config && row.version <= entry.config->version) {
        return;
    }
    entry.config = row;
    entry.workers.onConfig(row, entry.now.steady);
    broadcastConfig(entry);
    logLine(entry, LogLevel::Info, EventNumber::ConfigInForce, std::nullopt, {}, "version " + std::to_string(row.version.value));
}

/** A visitor over what the store was asked for. */
class StoreUseVisitor
{
public:
    StoreUseVisitor(EntryState &entry, const StoreAnswer &answer)
        : m_entry(entry)
        , m_rows(std::get_if<StoreRows>(&answer))
    {
    }

    void operator()(const ConfigRead &)
    {
        m_entry.configAsked = false;
        if (m_rows == nullptr) {
            return;
        }
        if (m_rows->rows.empty()) {
            takeConfig(m_entry, ConfigRow());
        } else if (const auto *row = std::get_if<ConfigRow>(&m_rows->rows.front().value)) {
            takeConfig(m_entry, *row);
        }
    }

    void operator()(const LeaseRead &use)
    {
        if (m_rows == nullptr) {
            m_entry.directory.onReadFailed(use.shard, m_entry.now);
        } else if (m_rows->rows.empty()) {
            m_entry.directory.onMissing(use.shard, m_entry.now);
            m_entry.leaseMonitor.onMissing(use.shard);
        } else {
            m_entry.directory.onRow(m_rows->rows.front(), m_entry.now);
            m_entry.leaseMonitor.onRow(m_rows->rows.front(), m_entry.now);
        }
        wakeRequests(m_entry, use.shard);
    }

    void operator()(const OrphanScan &)
    {
        if (m_rows == nullptr) {
            m_entry.leaseMonitor.onScanFailed(m_entry.now);
        } else {
            m_entry.leaseMonitor.onScan(*m_rows, m_entry.now);
        }
    }

    void operator()(const RetiredRows &)
    {
    }

private:
    EntryState &m_entry;
    const StoreRows *m_rows;
};

} // namespace

void sendStoreRequest(EntryState &entry, StoreUse use, StoreRequest body)
{
    const StoreRequestId request = entry.nextStore;
    entry.nextStore.value++;
    entry.storeUses.emplace(request, use);
    act(entry, SendStoreRequest{request, std::move(body), entry.settings.log.storeTimeLimit});
}

void onStoreUse(EntryState &entry, const StoreUse &use, const StoreAnswer &answer)
{
    std::visit(StoreUseVisitor(entry, answer), use);
}

void sweepConfig(EntryState &entry)
{
    if (entry.configAsked || entry.now.steady < entry.nextConfigRead || !entry.storeBudget.tryConsumeRead(entry.now)) {
        return;
    }
    entry.configAsked = true;
    entry.nextConfigRead = entry.now.steady + (entry.config ? entry.settings.configPoll : FirstConfigDelay);
    sendStoreRequest(entry, ConfigRead(), StoreGet{configKey()});
}

} // namespace Vanillahall
