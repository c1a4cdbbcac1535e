/** Overload handling of a proxy: what it observes, decides and reports. */
#pragma once

#include "server_queue.h"

#include "vanillahall/core/admission/program_admission_base.h"
#include "vanillahall/core/admission/saturation_monitor_base.h"

namespace Vanillahall::Forward {

class ProxyState;

/** Holds the state of the decisions under overload, and reports them. */
class OverloadControl
{
public:
    explicit OverloadControl(boost::asio::io_context &loop);

    // Commands.

    /** Evaluates the observations about a service, unless that was done just before, and reports a change of its state. */
    void update(ProxyState &proxy, const std::string &service);
    /** Reports a refused program. @param fields Description of the request. */
    void reportRefusal(ProxyState &proxy, const ProgramRequest &request, const ProgramRefused &refused, const std::string &fields);
    /** Reports a turn of a program that loops. @param fields Description of the request. */
    void reportLoop(ProxyState &proxy, const std::string &fields);
    /** Sets the gauges. */
    void setGauges(ProxyState &proxy) const;

    // Queries.

    /** @return State of a service that update() would leave now; nothing is changed. */
    [[nodiscard]] SaturationView preview(const ProxyState &proxy, const std::string &service) const;

    SaturationMonitor saturation;
    ProgramAdmission programs;
    std::shared_ptr<ServerQueue> queue;

private:
    /** Limits the log lines of one kind. */
    struct LineLimit
    {
        std::optional<TimePoint> loggedAt; ///< When a line was last logged.
        std::size_t leftOut = 0;           ///< Number of lines that were left out since.

        /** @return True if a line may be logged now. */
        bool claim(TimePoint now);
    };

    std::unordered_map<std::string, TimePoint> m_updatedAt; ///< When the state of a service was last evaluated.
    LineLimit m_refusalLines;
    LineLimit m_loopLines;
};

} // namespace Vanillahall::Forward
