/** Search for the versions of streams that owners of token budgets have granted. */
#include "http_status.h"
#include "outage_control.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_outage_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/** @return Versions at which streams of a program began. */
std::vector<SoftwareVersion> versionsOf(const std::vector<OutageTurnRecord> &turns, const std::string &program)
{
    std::vector<SoftwareVersion> versions;
    for (const auto &it : turns) {
        const bool isNew = it.streamVersion && std::find(versions.begin(), versions.end(), *it.streamVersion) == versions.end();
        if (it.program == program && isNew) {
            versions.push_back(*it.streamVersion);
        }
    }
    return versions;
}

} // namespace

std::optional<std::vector<SoftwareVersion>> OutageControl::ownVersions(const std::string &program) const
{
    return m_share.streamVersions(program, m_owners.right(budgetPartition(program), now()));
}

void OutageControl::findVersions(const std::string &program, const VersionsHandler &handler)
{
    const auto owner = m_owners.owner(budgetPartition(program));
    askVersions(owner, program, [this, program, owner, handler](const auto &versions) {
        const VersionSearch search{program, owner, handler};
        if (versions) {
            endSearch(search, versions, {});
            return;
        }
        m_searches.push_back(search);
        continueSearches();
    });
}

void OutageControl::askVersions(const std::string &owner, const std::string &program, const VersionsHandler &handler)
{
    if (owner == m_proxy.settings.name) {
        handler(ownVersions(program));
        return;
    }
    const auto answered = [weak = m_proxy.weak_from_this(), handler](const auto &reply, const Error &) {
        if (const auto proxy = weak.lock()) {
            handler(reply && reply->status == StatusOk ? Platform::decodeShareVersions(reply->body) : std::nullopt);
        }
    };
    if (!callOwner(owner, ShareVersionsPath, Platform::encodeShareQuery(program, m_proxy.settings.outageBudgetPercent), answered)) {
        handler(std::nullopt);
    }
}

void OutageControl::endSearch(const VersionSearch &search,
                              const std::optional<std::vector<SoftwareVersion>> &versions,
                              const std::string &why)
{
    m_proxy.log(LogLevel::Info,
                EventNumber::OutageTokens,
                "program=" + m_proxy.clientId(search.program) + " owner=" + search.askedOwner + " outcome="
                    + (versions ? "versions_known versions=" + std::to_string(versions->size()) : "versions_unknown why=\"" + why + '"'));
    search.handler(versions);
}

void OutageControl::continueSearches()
{
    if (m_isSearching || m_searches.empty()) {
        return;
    }
    m_isSearching = true;
    // Both reads start after the requests have arrived, so they show each owner and proxy that may have had to do with the streams.
    m_proxy.readAll(Platform::readBudgetOwnersCall, false, [this, searches = std::exchange(m_searches, {})](const auto &owners) {
        m_proxy.readAll(
            [region = m_proxy.settings.region](const std::string &after) {
                return Platform::readMembersCall(region, after);
            },
            false,
            [this, searches, owners](const auto &rows) {
                m_isSearching = false;
                std::vector<ProxyMember> members;
                bool areReadable = owners && rows;
                for (std::size_t n = 0; areReadable && n < rows->rows.size(); n++) {
                    Error ec;
                    const auto member = Platform::decodeMember(rows->rows[n], ec);
                    areReadable = member.has_value();
                    if (member) {
                        members.push_back(*member);
                    }
                }
                if (areReadable) {
                    onOwnersSearched(searches, decodeOwners(owners->rows), members);
                } else {
                    for (const auto &it : searches) {
                        endSearch(it, std::nullopt, "owners or proxies can't be read");
                    }
                }
                continueSearches();
            });
    });
}

void OutageControl::onOwnersSearched(std::vector<VersionSearch> searches,
                                     const std::vector<BudgetOwnerRow> &rows,
                                     const std::vector<ProxyMember> &members)
{
    m_owners.onRowsRead(rows, now());
    handleClaims();
    std::map<std::string, std::pair<std::vector<VersionSearch>, std::vector<ClaimedPartition>>> lost;
    for (auto &it : searches) {
        const auto partition = budgetPartition(it.program);
        const auto row = std::find_if(rows.begin(), rows.end(), [partition](const auto &known) {
            return known.partition == partition;
        });
        if (row == rows.end()) {
            // There has never been an owner.
            endSearch(it, std::vector<SoftwareVersion>(), {});
        } else if (row->sharePercent != m_proxy.settings.outageBudgetPercent) {
            endSearch(it, std::nullopt, "owner grants another share");
        } else if (row->owner.empty() && row->ledger.isComplete) {
            endSearch(it, versionsOf(row->ledger.turns, it.program), {});
        } else if (!row->owner.empty() && row->owner != it.askedOwner) {
            const VersionSearch search{it.program, row->owner, it.handler};
            askVersions(row->owner, it.program, [this, search](const auto &versions) {
                endSearch(search, versions, "new owner doesn't know");
            });
        } else if (!row->owner.empty() && row->ledger.isComplete && row->ledger.hasWitnesses) {
            auto &[list, partitions] = lost[row->owner];
            list.push_back(std::move(it));
            partitions.push_back({partition, row->term, row->owner, row->ledger, false});
        } else {
            endSearch(it, std::nullopt, row->owner.empty() ? "no owner, and grants of the last one aren't known" : "owner doesn't know");
        }
    }
    for (auto &[owner, found] : lost) {
        inquireVersions(owner, std::move(found.first), std::move(found.second), members);
    }
}

void OutageControl::inquireVersions(const std::string &owner,
                                    std::vector<VersionSearch> searches,
                                    std::vector<ClaimedPartition> partitions,
                                    const std::vector<ProxyMember> &members)
{
    std::vector<OutageTurnRecord> turns;
    for (const auto &it : partitions) {
        turns.insert(turns.end(), it.formerLedger.turns.begin(), it.formerLedger.turns.end());
    }
    std::vector<std::string> asked{m_proxy.settings.name};
    for (const auto &it : members) {
        // Other proxies have witnessed what the owner granted itself.
        if (it.name != owner && it.name != m_proxy.settings.name) {
            asked.push_back(it.name);
        }
    }
    auto open = std::make_shared<VersionInquiry>(
        VersionInquiry{GrantInquiry(std::move(partitions), asked), std::move(searches), std::move(turns), asked.size()});
    const auto query = Platform::encodeGrantsQuery(open->inquiry.partitions());
    for (const auto &it : members) {
        if (std::find(asked.begin(), asked.end(), it.name) == asked.end() || it.name == m_proxy.settings.name) {
            continue;
        }
        m_proxy.store.callMember(it,
                                 {"POST", std::string(GrantInquiryPath), query},
                                 OwnerCallTimeout,
                                 [this, weak = m_proxy.weak_from_this(), open, member = it.name](const auto &reply, const Error &) {
                                     if (const auto proxy = weak.lock()) {
                                         const bool isDone = reply && reply->status == StatusOk;
                                         onVersionTestimony(*open, member, isDone ? Platform::decodeTestimony(reply->body) : std::nullopt);
                                     }
                                 });
    }
    onVersionTestimony(*open, m_proxy.settings.name, m_obtained.testify(open->inquiry.partitions(), now()));
}

void OutageControl::onVersionTestimony(VersionInquiry &open, const std::string &member, const std::optional<GrantTestimony> &testimony)
{
    open.waiting--;
    if (testimony) {
        open.inquiry.onTestimony(member, testimony->since);
        open.turns.insert(open.turns.end(), testimony->turns.begin(), testimony->turns.end());
    }
    if (open.waiting != 0) {
        return;
    }
    const auto settled = open.inquiry.settled();
    for (const auto &it : open.searches) {
        const bool isKnown = std::any_of(settled.begin(), settled.end(), [partition = budgetPartition(it.program)](const auto &known) {
            return known.partition == partition;
        });
        const auto versions = isKnown ? std::optional(versionsOf(open.turns, it.program)) : std::nullopt;
        endSearch(it, versions, "owner is lost, and other proxies don't know all its grants");
    }
}

} // namespace Vanillahall::Forward
