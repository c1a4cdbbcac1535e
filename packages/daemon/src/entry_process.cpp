#include "api_server_base.h"
#include "log_func.h"
#include "peer_links_base.h"
#include "process_func.h"
#include "report_func.h"

#include "vanillahall/adapters/store_client_base.h"
#include "vanillahall/adapters/vm_list_client_base.h"
#include "vanillahall/core/burn_rate_tracker_base.h"
#include "vanillahall/core/config_updater_base.h"
#include "vanillahall/core/entry_base.h"
#include "vanillahall/core/entry_query.h"
#include "vanillahall/core/error_func.h"
#include "vanillahall/core/id_func.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace Vanillahall {

namespace {

constexpr double PerThousand = 1000;
constexpr std::uint64_t UpdaterRequestBase = std::uint64_t{1} << 62; ///< First number of the ConfigUpdater's store requests.

EntrySettings entrySettings(const Settings &settings, Incarnation incarnation)
{
    EntrySettings entry;
    entry.name = EntryName{settings.name};
    entry.zone = ZoneName{settings.zone};
    entry.incarnation = incarnation;
    entry.shard = ShardId{randomNumber()};
    entry.modelTimeLimit = settings.modelTimeLimit;
    entry.serviceTimeLimit = settings.serviceTimeLimit;
    entry.gateLossTimeout = settings.gateLossTimeout;
    entry.stopLimit = settings.stopLimit;
    entry.log.leaseTime = settings.leaseTime;
    entry.log.renewInterval = settings.renewInterval;
    entry.log.commitWindow = settings.commitWindow;
    return entry;
}

PlatformPeer platformPeer(const std::string &name, const Endpoint &endpoint)
{
    PlatformPeer peer;
    peer.name = name;
    peer.address = endpoint.address;
    peer.port = endpoint.port;
    return peer;
}

/** An entry: connects the decision logic of core to callers, gates, other entries and the platform. */
class EntryProcess
{
public:
    EntryProcess(Loop &loop, const Settings &settings, const LinkIdentity &self)
        : m_loop(loop)
        , m_settings(settings)
        , m_entry(entrySettings(settings, self.incarnation))
        , m_updater(updaterSettings(settings))
        , m_burn(static_cast<double>(settings.agreedMissesPerThousand) / PerThousand)
        , m_http(loop)
        , m_store(m_http, platformPeer("store", settings.store))
        , m_vmList(m_http, platformPeer("vm_list", settings.vmList))
        , m_links(loop, toText(settings.linkListen), self, settings.linkTls, linkHandlers())
        , m_apiServer(loop, settings, m_metrics, apiServerHandlers())
    {
        m_updaterOutput.nextRequest = StoreRequestId{UpdaterRequestBase};
    }

    bool start(Error &reason)
    {
        const auto linkPort = m_links.listen(reason);
        if (!linkPort) {
            return false;
        }
        const auto port = m_apiServer.listen(reason);
        if (!port) {
            return false;
        }
        m_loop.every(EntrySettings().tick, [this] {
            tick();
        });
        m_loop.every(m_settings.vmListPollInterval, [this] {
            readVmList();
        });
        m_loop.onStopSignal([this] {
            stop();
        });
        readVmList();
        writeLog(LogLevel::Info, EventNumber::ProcessStarted, "", "entry");
        std::cout << "ready " << *port << ' ' << *linkPort << std::endl;
        return true;
    }

private:
    static ConfigUpdaterSettings updaterSettings(const Settings &settings)
    {
        ConfigUpdaterSettings updater;
        updater.self = settings.name;
        return updater;
    }

    PeerLinksHandlers linkHandlers()
    {
        PeerLinksHandlers handlers;
        handlers.onGate = [this](const ServerName &gate, GateToEntry &&message) {
            if (const auto *status = std::get_if<GateStatus>(&message)) {
                m_peerConfigs[gate.text] = status->config;
            }
            handleEvent(GateMessageReceived{gate, std::move(message)});
        };
        handlers.onEntry = [this](const EntryName &entry, EntryToEntry &&message) {
            if (const auto *status = std::get_if<EntryStatus>(&message)) {
                m_peerConfigs[entry.text] = status->config;
            }
            handleEvent(EntryMessageReceived{entry, std::move(message)});
        };
        handlers.onGateLinkLost = [this](const ServerName &gate) {
            handleEvent(GateLinkLost{gate});
        };
        handlers.onEntryLinkLost = [this](const EntryName &entry) {
            handleEvent(EntryLinkLost{entry});
        };
        return handlers;
    }

    ApiServerHandlers apiServerHandlers()
    {
        ApiServerHandlers handlers;
        handlers.onCaller = [this](RequestId request, const CustomerName &customer, bool stream, CallerRequest &&body) {
            postEvent(CallerRequestReceived{request, customer, stream, std::move(body), randomNumber()});
        };
        handlers.onDisconnected = [this](RequestId request) {
            postEvent(CallerDisconnected{request});
        };
        handlers.onConfigChange = [this](RequestId request, const Access &access, ChangeApi &&change) {
            ConfigChangeRequest body{change.expected, access.name, std::move(change.change), randomNumber()};
            m_updater.change(request, std::move(body), now(), m_updaterOutput);
            drainUpdaterOutput();
        };
        handlers.onRead = [this](ReadKind kind) {
            return read(kind);
        };
        return handlers;
    }

    static Now now()
    {
        return Now{Loop::now(), Loop::wallNow()};
    }

    /** Handles an event after the current callback, which may itself run within handleEvent(). */
    void postEvent(EntryEvent event)
    {
        m_loop.post([this, event = std::move(event)] {
            handleEvent(event);
        });
    }

    void handleEvent(const EntryEvent &event)
    {
        for (auto &action : m_entry.handle(event, now())) {
            std::visit(
                [this](auto &it) {
                    perform(it);
                },
                action);
        }
    }

    void tick()
    {
        handleEvent(Tick{});
        m_updater.tick(now(), m_updaterOutput);
        drainUpdaterOutput();
    }

    void stop()
    {
        writeLog(LogLevel::Info, EventNumber::StopBegun, "", "");
        handleEvent(StopRequested{});
    }

    void readVmList()
    {
        m_vmList.read(m_settings.vmListPollInterval, [this](std::optional<std::vector<VmListing>> vms, const Error &) {
            if (vms) {
                removeUnlisted(*vms);
                handleEvent(VmListReceived{std::move(*vms)});
            }
        });
    }

    /** Removes processes that are no longer in the VM list, so that `config wait` does not wait for them. */
    void removeUnlisted(const std::vector<VmListing> &vms)
    {
        std::erase_if(m_peerConfigs, [&vms](const auto &it) {
            return std::none_of(vms.begin(), vms.end(), [&it](const VmListing &vm) {
                return vm.name == it.first;
            });
        });
    }

    void sendStoreRequest(StoreRequestId request, const StoreRequest &body, Duration timeLimit)
    {
        m_metrics.count("vanillahall_store_requests_total", {"kind", body.index() == 0 || body.index() > 2 ? "write" : "read"});
        m_store.send(body, timeLimit, [this, request](StoreAnswer &&answer) {
            recordConfig(answer);
            if (request.value < UpdaterRequestBase) {
                handleEvent(StoreReplyReceived{request, std::move(answer)});
                return;
            }
            m_updater.onStoreReply(request, answer, now(), m_updaterOutput);
            drainUpdaterOutput();
        });
    }

    void recordConfig(const StoreAnswer &answer)
    {
        const auto *rows = std::get_if<StoreRows>(&answer);
        if (rows == nullptr) {
            return;
        }
        for (const auto &row : rows->rows) {
            const auto *config = std::get_if<ConfigRow>(&row.value);
            if (config != nullptr && config->version > m_config.version) {
                m_config = *config;
            }
        }
    }

    void drainUpdaterOutput()
    {
        ConfigUpdaterOutput out = std::exchange(m_updaterOutput, ConfigUpdaterOutput{m_updaterOutput.nextRequest, {}, {}});
        for (auto &it : out.store) {
            sendStoreRequest(it.request, it.body, it.timeLimit);
        }
        for (auto &it : out.replies) {
            if (const auto *accepted = std::get_if<ConfigAccepted>(&it.body)) {
                handleEvent(ConfigChanged{accepted->version});
            }
            m_apiServer.answer(it.request, it.body);
        }
    }

    HttpResponse read(ReadKind kind)
    {
        switch (kind) {
        case ReadKind::Config:
            return encodeConfig(m_updater.newest().version > m_config.version ? m_updater.newest() : m_config);
        case ReadKind::State:
            return encodeState(entryView(m_entry.state()), m_peerConfigs);
        case ReadKind::Burn:
            return encodeBurn(m_burn.report(Loop::wallNow()));
        case ReadKind::Outcomes:
            return encodeOutcomes(callsWithUnknownOutcome(m_entry.state()));
        case ReadKind::Metrics:
            break;
        }
        m_metrics.gauge("vanillahall_open_requests", static_cast<double>(m_apiServer.openRequests()));
        m_metrics.gauge("vanillahall_unsent_response_bytes", static_cast<double>(m_apiServer.unsentBytes()));
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = m_metrics.text();
        return response;
    }

    void perform(const SendToGate &action)
    {
        m_links.sendToGate(action.server, action.address, action.message);
    }

    void perform(const CloseGateLink &action)
    {
        m_links.closeGateLink(action.server);
    }

    void perform(const SendToEntry &action)
    {
        m_links.sendToEntry(action.entry, action.address, action.message);
    }

    void perform(const CloseEntryLink &action)
    {
        m_links.closeEntryLink(action.entry);
    }

    void perform(const SendStoreRequest &action)
    {
        sendStoreRequest(action.request, action.body, action.timeLimit);
    }

    void perform(const StreamToCaller &action)
    {
        m_apiServer.stream(action.request, action.key, action.firstToken, action.pieces);
    }

    void perform(const ReplyToCaller &action)
    {
        m_apiServer.answer(action.request, action.body);
    }

    void perform(const WriteLog &action)
    {
        m_metrics.count("vanillahall_events_total", {"event", std::string(eventName(action.event))});
        writeLog(action);
        if (action.event == EventNumber::ProgramDone && action.call) {
            countProgram(action.call->program);
        }
    }

    void countProgram(const ProgramId &program)
    {
        const auto cost = programCost(m_entry.state(), program);
        if (cost) {
            m_burn.add(*cost);
            m_metrics.observe("vanillahall_program_seconds", {"class", cost->className.text}, cost->latency);
        }
    }

    void perform(const StopFinished &)
    {
        writeLog(LogLevel::Info, EventNumber::StopDone, "", "");
        m_loop.stop();
    }

    Loop &m_loop;
    Settings m_settings;
    Entry m_entry;
    ConfigUpdater m_updater;
    ConfigUpdaterOutput m_updaterOutput;
    ConfigRow m_config;
    BurnRateTracker m_burn;
    PeerConfigVersions m_peerConfigs;
    Metrics m_metrics;
    HttpClient m_http;
    StoreClient m_store;
    VmListClient m_vmList;
    PeerLinks m_links;
    ApiServer m_apiServer;
};

} // namespace

bool runEntry(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason)
{
    EntryProcess process(loop, settings, self);
    if (!process.start(reason)) {
        return false;
    }
    loop.run();
    return true;
}

} // namespace Vanillahall
