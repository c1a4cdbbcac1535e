#include "entry_gate_func.h"
#include "entry_peer_func.h"
#include "entry_route_func.h"
#include "vanillahall/core/config_updater_base.h"

namespace Vanillahall {

namespace {

constexpr Duration InitialConfigRetryDelay = std::chrono::milliseconds(200); ///< Interval of reads until the configuration is known.

void applyConfig(EntryState &entry, const ConfigRow &row)
{
    if (entry.config && row.version <= entry.config->version) {
        return;
    }
    entry.config = row;
    entry.workers.onConfig(row, entry.now.steady);
    broadcastConfig(entry);
    logLine(entry, LogLevel::Info, EventNumber::ConfigInForce, std::nullopt, {}, "version " + std::to_string(row.version.value));
}

/** Handles the reply for each purpose of a request. */
class StoreReplyVisitor
{
public:
    StoreReplyVisitor(EntryState &entry, const StoreAnswer &answer)
        : m_entry(entry)
        , m_rows(std::get_if<StoreRows>(&answer))
    {
    }

    void operator()(const ConfigRead &)
    {
        m_entry.configReadPending = false;
        if (m_rows == nullptr) {
            return;
        }
        if (m_rows->rows.empty()) {
            applyConfig(m_entry, ConfigRow());
        } else if (const auto *row = std::get_if<ConfigRow>(&m_rows->rows.front().value)) {
            applyConfig(m_entry, *row);
        }
    }

    void operator()(const LeaseRead &read)
    {
        if (m_rows == nullptr) {
            m_entry.directory.onReadFailed(read.shard, m_entry.now);
        } else if (m_rows->rows.empty()) {
            m_entry.directory.onMissing(read.shard, m_entry.now);
            m_entry.leaseMonitor.onMissing(read.shard);
        } else {
            m_entry.directory.onRow(m_rows->rows.front(), m_entry.now);
            m_entry.leaseMonitor.onRow(m_rows->rows.front(), m_entry.now);
        }
        routeParkedRequests(m_entry, read.shard);
    }

    void operator()(const OrphanScan &)
    {
        if (m_rows == nullptr) {
            m_entry.leaseMonitor.onScanFailed(m_entry.now);
        } else {
            m_entry.leaseMonitor.onScan(*m_rows, m_entry.now);
        }
    }

    void operator()(const RetiredRowRemoval &)
    {
    }

private:
    EntryState &m_entry;
    const StoreRows *m_rows;
};

} // namespace

void sendStoreRequest(EntryState &entry, StoreRequestPurpose purpose, StoreRequest body)
{
    const StoreRequestId request = entry.nextStoreRequest;
    entry.nextStoreRequest.value++;
    entry.storeRequests.emplace(request, purpose);
    addAction(entry, SendStoreRequest{request, std::move(body), entry.settings.log.storeTimeLimit});
}

void onStoreReply(EntryState &entry, const StoreRequestPurpose &purpose, const StoreAnswer &answer)
{
    std::visit(StoreReplyVisitor(entry, answer), purpose);
}

void sweepConfig(EntryState &entry)
{
    if (entry.configReadPending || entry.now.steady < entry.nextConfigRead || !entry.storeBudget.tryConsumeRead(entry.now)) {
        return;
    }
    entry.configReadPending = true;
    entry.nextConfigRead = entry.now.steady + (entry.config ? entry.settings.configPollInterval : InitialConfigRetryDelay);
    sendStoreRequest(entry, ConfigRead(), StoreGet{configKey()});
}

} // namespace Vanillahall
