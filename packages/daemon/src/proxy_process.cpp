#include "access_base.h"
#include "log_func.h"
#include "process_func.h"
#include "settings_func.h"

#include "vanillahall/proxy/proxy_base.h"

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall {

namespace {

constexpr std::chrono::milliseconds LogFlushInterval{250}; ///< Interval between flushes of queued log lines.
constexpr unsigned FileCheckTicks = 4;                     ///< The settings file is checked every 4th tick, once a second.

constexpr std::uint64_t BytesPerMb = std::uint64_t{1024} * 1024;
constexpr std::uint64_t BodyMemoryDivisor = 5;   ///< A fifth of the memory for request bodies; responses to slow clients may need as much.
constexpr std::uint64_t ClientMemoryDivisor = 2; ///< Half of the memory for all that is held for clients, request bodies included.
constexpr std::uint64_t TurnMemoryDivisor = 10;  ///< A tenth of the memory for stored turns.
constexpr std::uint64_t ReservedFiles = 250;     ///< Descriptors reserved for files, listeners, the store and other proxies.
constexpr std::uint64_t FilesPerClient = 2;      ///< Descriptors per client: its connection, and one to a backend server for its request.
constexpr int MmapThresholdBytes
    = 512 * 1024; ///< Larger buffers are returned to the system when they are freed. Without a fixed value the allocator raises it.

constexpr int TrimThresholdBytes
    = 4 * 1024 * 1024; ///< Free memory kept for reuse; with the default of 128 KB each larger body would be mapped anew.

/** @return Number of descriptors that the process may open. */
std::uint64_t maxFiles(const Settings &settings)
{
    struct rlimit limit
    {
    };
    const bool isLimited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isLimited ? std::min<std::uint64_t>(settings.proxyMaxFiles, limit.rlim_cur) : settings.proxyMaxFiles;
}

Forward::ProxyAddress toAddress(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

Forward::StopSettings toStopSettings(const Settings &settings)
{
    auto stop = settings.proxyGracePeriod ? Forward::stopSettingsFor(*settings.proxyGracePeriod) : Forward::StopSettings();
    stop.limit = settings.proxyStopLimit.value_or(stop.limit);
    return stop;
}

Forward::Placement toPlacement(const Settings &settings)
{
    return settings.proxyPlacement == "fixed" ? Forward::Placement::Fixed : Forward::Placement::Learned;
}

Forward::ProxySettings toProxySettings(const Settings &settings)
{
    Forward::ProxySettings proxy;
    proxy.name = settings.name;
    proxy.zone = settings.zone;
    proxy.incarnation = std::to_string(randomNumber());
    proxy.listen = toAddress(settings.proxyListen);
    proxy.readyListen = toAddress(settings.proxyReadyListen);
    if (!settings.proxyMetricsListen.address.empty()) {
        proxy.metricsListen = toAddress(settings.proxyMetricsListen);
    }
    proxy.region = settings.region;
    if (!settings.proxyPeerListen.address.empty()) {
        proxy.peerListen = toAddress(settings.proxyPeerListen);
    }
    if (!settings.proxyOperatorListen.address.empty()) {
        proxy.operatorListen = toAddress(settings.proxyOperatorListen);
    }
    if (!settings.proxyTokensFile.empty()) {
        proxy.isOperatorToken
            = [access = std::make_shared<AccessTable>(settings.proxyTokensFile)](const std::string &token, Error &reason) {
                  // If the file can't be read, the previous tokens stay valid; before the first successful read there are none.
                  access->refresh(reason);
                  const auto found = access->find(token);
                  return found && found->role == AccessRole::Operator;
              };
    }
    proxy.store = toAddress(settings.store);
    proxy.pollInterval = settings.proxyPollInterval;
    proxy.watchWait = settings.proxyWatchWait;
    proxy.customers = {settings.proxyFailsClosed, settings.proxyRevocationTime};
    proxy.stop = toStopSettings(settings);
    proxy.maxBufferedBytes = settings.proxyMemoryMb * BytesPerMb / BodyMemoryDivisor;
    proxy.restrictsAdmission = settings.restrictsAdmission;
    proxy.maxTurnBytes = settings.proxyMemoryMb * BytesPerMb / TurnMemoryDivisor;
    proxy.rowBytes = settings.storeRowBytes;
    proxy.quota.window = settings.proxyQuotaWindow.value_or(proxy.quota.window);
    proxy.quota.overrun = settings.proxyQuotaOverrun.value_or(proxy.quota.overrun);
    proxy.quota.slack = settings.proxyQuotaSlack.value_or(proxy.quota.slack);
    proxy.outageBudgetPercent = settings.proxyOutageBudgetPercent;
    proxy.choice.placement = toPlacement(settings);
    proxy.maxClientBytes = settings.proxyMemoryMb * BytesPerMb / ClientMemoryDivisor;
    proxy.maxServerBytes = settings.proxyServerRequestMb * BytesPerMb;
    const auto files = maxFiles(settings);
    proxy.maxClients = (files - std::min(files, ReservedFiles)) / FilesPerClient;
    return proxy;
}

/** Metadata by which a change of a file is detected. */
struct FileVersion
{
    timespec changed{}; ///< Modification time.
    off_t size = 0;     ///< Size in bytes.
    ino_t inode = 0;    ///< Inode; differs after the file was replaced.

    bool operator==(const FileVersion &other) const
    {
        return changed.tv_sec == other.changed.tv_sec && changed.tv_nsec == other.changed.tv_nsec && size == other.size
            && inode == other.inode;
    }
};

FileVersion fileVersion(const std::string &path)
{
    struct stat info
    {
    };
    if (stat(path.c_str(), &info) != 0) {
        return {};
    }
    return {info.st_mtim, info.st_size, info.st_ino};
}

/** A proxy with its signal handling and the reload of its settings file. */
class ProxyProcess
{
public:
    ProxyProcess(const Settings &settings, std::string path, ReloadSettings reloadSettings)
        : m_loop(1)
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_loop)
        , m_path(std::move(path))
        , m_fileVersion(fileVersion(m_path))
        , m_reloadSettings(std::move(reloadSettings))
        , m_proxy(m_loop, toProxySettings(settings), writeFields)
    {
    }

    bool run(Error &reason)
    {
        if (!m_proxy.start(reason)) {
            return false;
        }
        writeFields(LogLevel::Info, EventNumber::ProcessStarted, "port=" + std::to_string(m_proxy.port()));
        waitForSignal();
        tick();
        m_loop.run();
        writeFields(LogLevel::Info, EventNumber::StopDone, "");
        flushLog();
        return true;
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                reload("signal");
            } else {
                stop();
            }
            waitForSignal();
        });
    }

    void stop()
    {
        writeFields(LogLevel::Info, EventNumber::StopBegun, "");
        m_proxy.stop([this] {
            m_loop.stop();
        });
    }

    void reload(const char *cause)
    {
        m_fileVersion = fileVersion(m_path);
        std::vector<SettingsError> errors;
        const auto settings = m_reloadSettings(errors);
        for (const auto &it : errors) {
            writeLog(LogLevel::Error, EventNumber::SettingsFault, "", toText(it));
        }
        if (!settings) {
            return;
        }
        setLogLevel(settings->logLevel);
        m_proxy.setStore(toAddress(settings->store));
        m_proxy.setStopSettings(toStopSettings(*settings));
        m_proxy.setPlacement(toPlacement(*settings));
        writeFields(LogLevel::Info, EventNumber::SettingsReloaded, std::string("cause=") + cause);
    }

    void tick()
    {
        flushLog();
        if (++m_ticks % FileCheckTicks == 0 && !(fileVersion(m_path) == m_fileVersion)) {
            reload("file");
        }
        m_timer.expires_after(LogFlushInterval);
        m_timer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                tick();
            }
        });
    }

    boost::asio::io_context m_loop;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::string m_path;
    FileVersion m_fileVersion;
    ReloadSettings m_reloadSettings;
    Forward::Proxy m_proxy;
    unsigned m_ticks = 0;
};

} // namespace

bool runProxy(const Settings &settings, const std::string &path, const ReloadSettings &reloadSettings, Error &reason)
{
    mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
    ProxyProcess process(settings, path, reloadSettings);
    return process.run(reason);
}

} // namespace Vanillahall
