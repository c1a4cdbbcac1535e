#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration StoreNear = std::chrono::milliseconds(1500);   ///< Three polls without an answer mean that the store is away.
constexpr Duration PollWhenAway = std::chrono::milliseconds(150); ///< Between reads while the store is away; requests wait for its return.
constexpr Duration ListAway = std::chrono::milliseconds(2500);    ///< A list older than this may have lapsed entries.
constexpr Duration CrashRead
    = std::chrono::seconds(2); ///< Between reads of shared counts; a content may be refused everywhere 3 s after it broke the third server.
constexpr std::size_t MaxFaultyRows = 200; ///< Faulty rows remembered so that each is logged once.

} // namespace

void ProxyState::poll()
{
    if (m_isShutDown) {
        return;
    }
    m_openPolls = 2;
    beat();
    if (now() >= m_crashesAt) {
        m_crashesAt = now() + CrashRead;
        readCrashes({}, {});
    }
    store.call(Platform::readConfigCall(), StoreLimit, true, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        if (const auto self = weak.lock()) {
            self->configCame(reply, reason);
        }
    });
    readServers({}, {});
}

void ProxyState::pollAgain()
{
    if (--m_openPolls != 0 || m_isShutDown) {
        return;
    }
    removeOldRows();
    m_pollTimer.expires_after(isStoreNear() ? settings.pollInterval : std::min(settings.pollInterval, PollWhenAway));
    m_pollTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->poll();
        }
    });
}

void ProxyState::storeAnswered()
{
    m_storeAt = now();
    if (std::exchange(m_isStoreAway, false)) {
        log(LogLevel::Info, EventNumber::StoreBack, "peer=store");
    }
    for (const auto &it : std::exchange(m_storeWaiters, {})) {
        if (const auto exchange = it.lock()) {
            exchange->tokensChanged(false);
        }
    }
}

void ProxyState::storeFailed(const std::string &message)
{
    metrics.count("vanillahall_store_failures_total", {"call", "any"});
    if (!isStoreNear() && !std::exchange(m_isStoreAway, true)) {
        log(LogLevel::Warning, EventNumber::StoreAway, "peer=store why=\"" + message + '"');
    }
}

std::uint64_t ProxyState::storeNowMs() const
{
    return m_storeClockMs
        + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_storeClockAt).count());
}

bool ProxyState::isStoreNear() const
{
    return m_storeAt && now() - *m_storeAt < StoreNear;
}

void ProxyState::rowFaulty(const Error &reason, std::uint64_t version)
{
    auto &known = m_faultyRows[reason.peer];
    if (known == version) {
        return;
    }
    known = version;
    if (m_faultyRows.size() > MaxFaultyRows) {
        m_faultyRows.clear();
    }
    log(LogLevel::Warning, EventNumber::ConfigRefused, "peer=" + reason.peer + " why=\"" + reason.message + '"');
}

void ProxyState::callStore(const Platform::StoreRequest &request)
{
    store.call(request, StoreLimit, false, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto proxy = weak.lock();
        if (proxy && !reply) {
            proxy->storeFailed(reason.message);
        }
    });
}

void ProxyState::configCame(const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(reply ? "status " + std::to_string(reply->status) : ec.message);
        pollAgain();
        return;
    }
    storeAnswered();
    m_storeClockMs = rows->nowMs;
    m_storeClockAt = now();
    for (const auto &it : rows->rows) {
        if (it.key != "config") {
            continue;
        }
        auto config = Platform::decodeConfig(it.value, ec);
        if (!config) {
            rowFaulty(ec, it.version);
            continue;
        }
        const auto version = config->version;
        if (routes.apply(std::move(*config))) {
            log(LogLevel::Info,
                EventNumber::ConfigInForce,
                "config=" + std::to_string(version) + " routes=" + std::to_string(routes.config().routes.size()));
        }
    }
    pollAgain();
}

void ProxyState::readServers(const std::string &after, std::vector<Server> list)
{
    store.call(Platform::readServersCall(after),
               StoreLimit,
               true,
               [weak = weak_from_this(), list = std::move(list)](const auto &reply, const Error &reason) mutable {
                   if (const auto self = weak.lock()) {
                       self->serversCame(reply, reason, std::move(list));
                   }
               });
}

void ProxyState::serversCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Server> list)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(reply ? "status " + std::to_string(reply->status) : ec.message);
        pollAgain();
        return;
    }
    storeAnswered();
    for (const auto &it : rows->rows) {
        auto server = Platform::decodeServer(it.key, it.value, ec);
        if (server) {
            list.push_back(std::move(*server));
        } else {
            rowFaulty(ec, it.version);
        }
    }
    if (rows->hasMore && !rows->rows.empty()) {
        readServers(rows->rows.back().key, std::move(list));
        return;
    }
    takeServers(list);
    pollAgain();
}

void ProxyState::takeServers(const std::vector<Server> &list)
{
    const auto present = now();
    const bool wasAway = m_serversAt && present - *m_serversAt > ListAway;
    for (const auto &it : book.update(list, wasAway, present)) {
        const auto listed = std::find_if(list.begin(), list.end(), [&it](const Server &server) {
            return server.id == it;
        });
        const char *state = listed == list.end() ? "gone" : (listed->isDraining ? "draining" : "ready");
        log(LogLevel::Info,
            EventNumber::ServerChanged,
            "server=" + it + " state=" + state + (listed == list.end() ? "" : " service=" + listed->service + " zone=" + listed->zone));
    }
    m_serversAt = present;
}

void ProxyState::beat()
{
    const auto present = now();
    if (!settings.peerListen || present < m_beatAt) {
        return;
    }
    m_beatAt = present + MemberBeat;
    const Member self{settings.name, settings.peerListen->address, peerServer.port(), 0};
    callStore(Platform::writeMemberCall(settings.region, self));
    readMembers({}, {});
}

void ProxyState::readMembers(const std::string &after, std::vector<Member> list)
{
    store.call(Platform::readMembersCall(settings.region, after),
               StoreLimit,
               false,
               [weak = weak_from_this(), list = std::move(list)](const auto &reply, const Error &reason) mutable {
                   if (const auto proxy = weak.lock()) {
                       proxy->membersCame(reply, reason, std::move(list));
                   }
               });
}

void ProxyState::membersCame(const std::optional<StoreReply> &reply, const Error &reason, std::vector<Member> list)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        storeFailed(ec.message);
        return;
    }
    for (const auto &it : rows->rows) {
        if (auto member = Platform::decodeMember(it, ec)) {
            list.push_back(std::move(*member));
        } else {
            rowFaulty(ec, it.version);
        }
    }
    if (rows->hasMore && !rows->rows.empty()) {
        readMembers(rows->rows.back().key, std::move(list));
        return;
    }
    members.update(list, now());
    book.setEntries(members.count(now()));
}

} // namespace Vanillahall::Forward
