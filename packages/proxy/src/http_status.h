/** HTTP statuses that the proxy names. */
#pragma once

namespace Vanillahall::Forward {

inline constexpr unsigned StatusOk = 200;              ///< Done.
inline constexpr unsigned StatusSuccessEnd = 300;      ///< Statuses from 200 to below this are successes.
inline constexpr unsigned StatusBadRequest = 400;      ///< The request can't be trusted or read.
inline constexpr unsigned StatusPaymentRequired = 402; ///< The program's token budget is spent.
inline constexpr unsigned StatusNotFound = 404;        ///< No route.
inline constexpr unsigned StatusRequestTimeout = 408;  ///< The request didn't arrive in time; it hasn't run.
inline constexpr unsigned StatusGone = 410;            ///< The store has no longer the history that was asked for.
inline constexpr unsigned StatusConditionFailed = 412; ///< A condition of a store call didn't hold.
inline constexpr unsigned StatusTooLarge = 413;        ///< The body is over the limit.
inline constexpr unsigned StatusMisdirected = 421;     ///< Another server has the address; it hasn't run.
inline constexpr unsigned StatusTooManyRequests = 429; ///< Not run.
inline constexpr unsigned StatusHeadersTooLarge = 431; ///< The headers are over the limit.
inline constexpr unsigned StatusServerError = 500;     ///< Statuses from here on are failures of the server.
inline constexpr unsigned StatusBadGateway = 502;      ///< It failed and may have run.
inline constexpr unsigned StatusUnavailable = 503;     ///< Not run.
inline constexpr unsigned StatusGatewayTimeout = 504;  ///< No answer in time; it may have run.

} // namespace Vanillahall::Forward
