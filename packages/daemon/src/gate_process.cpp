#include "log_func.h"
#include "process_func.h"

#include "vanillahall/adapters/engine_client_base.h"
#include "vanillahall/adapters/service_client_base.h"
#include "vanillahall/core/gate_base.h"

#include <iostream>
#include <variant>

namespace Vanillahall {

namespace {

GateSettings gateSettings(const Settings &settings, Incarnation incarnation)
{
    GateSettings gate;
    gate.server = ServerName{settings.name};
    gate.zone = ZoneName{settings.zone};
    gate.incarnation = incarnation;
    gate.kind = settings.serverKind == "service" ? PoolKind::Service : PoolKind::Model;
    gate.service = ServiceName{settings.service};
    gate.slots = static_cast<std::uint32_t>(settings.slots);
    gate.maxWaiting = static_cast<std::uint32_t>(settings.maxWaiting);
    gate.streamSilence = settings.streamSilence;
    gate.stopLimit = settings.stopLimit;
    return gate;
}

PlatformPeer serverPeer(const Settings &settings)
{
    PlatformPeer peer;
    peer.name = settings.name;
    peer.address = settings.server.address;
    peer.port = settings.server.port;
    return peer;
}

/** Client of the backend server: an inference engine or a plain service. */
class ServerClient
{
public:
    ServerClient(HttpClient &http, const Settings &settings, Incarnation incarnation, const GateEventCallback &callback)
    {
        if (settings.serverKind == "service") {
            ServiceClientSettings service;
            service.peer = serverPeer(settings);
            m_client = std::make_unique<ServiceClient>(http, service, callback);
            return;
        }
        EngineClientSettings engine;
        engine.peer = serverPeer(settings);
        engine.incarnation = incarnation;
        m_client = std::make_unique<EngineClient>(http, engine, callback);
    }

    /** Starts a call. */
    template<typename Action>
    void start(const Action &action)
    {
        std::visit(
            [&action](auto &it) {
                it->start(action);
            },
            m_client);
    }

    void cancel(const CancelServerCall &action)
    {
        std::visit(
            [&action](auto &it) {
                it->cancel(action);
            },
            m_client);
    }

    void pollLoad()
    {
        std::visit(
            [](auto &it) {
                it->pollLoad();
            },
            m_client);
    }

    /** @return The engine's client, or nullptr if the server is a plain service. */
    EngineClient *engine()
    {
        auto *it = std::get_if<std::unique_ptr<EngineClient>>(&m_client);
        return it != nullptr ? it->get() : nullptr;
    }

private:
    std::variant<std::unique_ptr<EngineClient>, std::unique_ptr<ServiceClient>> m_client;
};

/** A gate: connects the decision logic of core to entries and the backend server. */
class GateProcess
{
public:
    GateProcess(Loop &loop, const Settings &settings, const LinkIdentity &self)
        : m_loop(loop)
        , m_settings(settings)
        , m_gate(gateSettings(settings, self.incarnation))
        , m_http(loop)
        , m_server(m_http,
                   settings,
                   self.incarnation,
                   [this](GateEvent &&event) {
                       handleEvent(event);
                   })
        , m_links(loop, toText(settings.linkListen), self, settings.linkTls, linkHandlers())
    {
    }

    bool start(Error &reason)
    {
        const auto port = m_links.listen(reason);
        if (!port) {
            return false;
        }
        m_loop.every(GateSettings().tick, [this] {
            handleEvent(Tick{});
        });
        m_loop.every(m_settings.loadPollInterval, [this] {
            m_server.pollLoad();
        });
        m_loop.onStopSignal([this] {
            writeLog(LogLevel::Info, EventNumber::StopBegun, "", "");
            handleEvent(StopRequested{});
        });
        m_server.pollLoad();
        writeLog(LogLevel::Info, EventNumber::ProcessStarted, "", "gate");
        std::cout << "ready " << *port << std::endl;
        return true;
    }

private:
    LinkHandlers linkHandlers()
    {
        LinkHandlers handlers;
        handlers.onOpened = [](LinkNumber, const LinkIdentity &) {};
        handlers.onMessage = [this](LinkNumber link, LinkMessage &&message) {
            if (auto *order = std::get_if<EntryToGate>(&message)) {
                handleEvent(OrderReceived{LinkId{link.value}, std::move(*order)});
            }
        };
        handlers.onClosed = [this](LinkNumber link) {
            handleEvent(LinkLost{LinkId{link.value}});
        };
        return handlers;
    }

    void handleEvent(const GateEvent &event)
    {
        for (auto &action : m_gate.handle(event, Now{Loop::now(), Loop::wallNow()})) {
            std::visit(
                [this](auto &it) {
                    perform(it);
                },
                action);
        }
    }

    void perform(const SendToLink &action)
    {
        m_links.send(LinkNumber{action.link.value}, action.message);
    }

    void perform(const StartServerCall &action)
    {
        m_server.start(action);
    }

    void perform(const ResumeServerCall &action)
    {
        if (EngineClient *engine = m_server.engine()) {
            engine->resume(action);
        }
    }

    void perform(const CancelServerCall &action)
    {
        m_server.cancel(action);
    }

    void perform(const FreeMemory &action)
    {
        if (EngineClient *engine = m_server.engine()) {
            engine->free(action);
        }
    }

    void perform(const FreeAllMemory &)
    {
        if (EngineClient *engine = m_server.engine()) {
            engine->freeAll();
        }
    }

    void perform(const WriteLog &action)
    {
        writeLog(action);
    }

    void perform(const StopFinished &)
    {
        writeLog(LogLevel::Info, EventNumber::StopDone, "", "");
        m_loop.stop();
    }

    Loop &m_loop;
    Settings m_settings;
    Gate m_gate;
    HttpClient m_http;
    ServerClient m_server;
    LinkServer m_links;
};

} // namespace

bool runGate(Loop &loop, const Settings &settings, const LinkIdentity &self, Error &reason)
{
    GateProcess process(loop, settings, self);
    if (!process.start(reason)) {
        return false;
    }
    loop.run();
    return true;
}

} // namespace Vanillahall
