/** Events and actions that entries and gates share. */
#pragma once

namespace Vanillahall {

/** A planned stop of the process was requested; work in progress is finished first. */
struct StopRequested
{
};

/** Time has passed. Delivered at least every `tick` of the settings. */
struct Tick
{
};

/** Everything is handed over and flushed; the process may exit. */
struct StopFinished
{
};

} // namespace Vanillahall
