#include "log_func.h"
#include "process_func.h"
#include "settings_func.h"

#include "vanillahall/proxy/proxy_base.h"

#include <algorithm>

#include <sys/stat.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillahall {

namespace {

constexpr std::chrono::milliseconds LogFlush{250}; ///< Between two writes of buffered log lines.
constexpr unsigned FileLookEvery = 4;              ///< Flushes between two looks at the settings file: one a second.

constexpr std::uint64_t BytesOfMb = std::uint64_t{1024} * 1024;
constexpr std::uint64_t BodyShare = 5;        ///< Bodies get a fifth of the memory; answers to slow readers may need as much.
constexpr std::uint64_t TurnShare = 10;       ///< Kept turns get a tenth.
constexpr std::uint64_t FilesForOthers = 250; ///< Files, listeners, the store and other proxies.
constexpr std::uint64_t ClientShare = 2;      ///< Each client's request may need a connection to a server.

Forward::ProxyAddress toAddress(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

Forward::ProxySettings toProxySettings(const Settings &settings)
{
    Forward::ProxySettings proxy;
    proxy.name = settings.name;
    proxy.zone = settings.zone;
    proxy.incarnation = std::to_string(freshRandom());
    proxy.listen = toAddress(settings.proxyListen);
    proxy.readyListen = toAddress(settings.proxyReadyListen);
    if (!settings.proxyMetricsListen.address.empty()) {
        proxy.metricsListen = toAddress(settings.proxyMetricsListen);
    }
    proxy.region = settings.region;
    if (!settings.proxyPeerListen.address.empty()) {
        proxy.peerListen = toAddress(settings.proxyPeerListen);
    }
    proxy.store = toAddress(settings.store);
    proxy.pollInterval = settings.proxyPollInterval;
    proxy.watchWait = settings.proxyWatchWait;
    proxy.stopLimit = settings.proxyStopLimit;
    proxy.maxBufferedBytes = settings.proxyMemoryMb * BytesOfMb / BodyShare;
    proxy.maxTurnBytes = settings.proxyMemoryMb * BytesOfMb / TurnShare;
    proxy.rowBytes = settings.storeRowBytes;
    proxy.maxClients = (settings.proxyMaxFiles - std::min(settings.proxyMaxFiles, FilesForOthers)) / ClientShare;
    return proxy;
}

/** What tells one state of a file from another. */
struct FileStamp
{
    timespec changed{}; ///< Time of the last change.
    off_t size = 0;     ///< Size in bytes.
    ino_t inode = 0;    ///< The file itself.

    bool operator==(const FileStamp &other) const
    {
        return changed.tv_sec == other.changed.tv_sec && changed.tv_nsec == other.changed.tv_nsec && size == other.size
            && inode == other.inode;
    }
};

FileStamp stampOf(const std::string &path)
{
    struct stat found
    {
    };
    if (stat(path.c_str(), &found) != 0) {
        return {};
    }
    return {found.st_mtim, found.st_size, found.st_ino};
}

/** A proxy, its signals and its settings file. */
class ProxyProcess
{
public:
    ProxyProcess(const Settings &settings, std::string path, ReadSettingsAgain readAgain)
        : m_loop(1)
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_loop)
        , m_path(std::move(path))
        , m_stamp(stampOf(m_path))
        , m_readAgain(std::move(readAgain))
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
        m_stamp = stampOf(m_path);
        std::vector<SettingsError> errors;
        const auto settings = m_readAgain(errors);
        for (const auto &it : errors) {
            writeLog(LogLevel::Error, EventNumber::SettingsFault, "", toText(it));
        }
        if (!settings) {
            return;
        }
        setLogLevel(settings->logLevel);
        m_proxy.setStore(toAddress(settings->store));
        writeFields(LogLevel::Info, EventNumber::SettingsReloaded, std::string("cause=") + cause);
    }

    void tick()
    {
        flushLog();
        if (++m_ticks % FileLookEvery == 0 && !(stampOf(m_path) == m_stamp)) {
            reload("file");
        }
        m_timer.expires_after(LogFlush);
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
    FileStamp m_stamp;
    ReadSettingsAgain m_readAgain;
    Forward::Proxy m_proxy;
    unsigned m_ticks = 0;
};

} // namespace

bool runProxy(const Settings &settings, const std::string &path, const ReadSettingsAgain &readAgain, Error &reason)
{
    ProxyProcess process(settings, path, readAgain);
    return process.run(reason);
}

} // namespace Vanillahall
