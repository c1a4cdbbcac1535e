/** HTTP statuses, and what they mean to a client of the proxy. */
#pragma once

namespace Vanillahall::Forward {

inline constexpr unsigned StatusOk = 200;              ///< Success.
inline constexpr unsigned StatusNoContent = 204;       ///< Success without a body.
inline constexpr unsigned StatusSuccessEnd = 300;      ///< End (exclusive) of the success statuses, which start at 200.
inline constexpr unsigned StatusBadRequest = 400;      ///< The request is malformed or ambiguous.
inline constexpr unsigned StatusUnauthorized = 401;    ///< The request has no valid API key; it didn't run.
inline constexpr unsigned StatusPaymentRequired = 402; ///< The token budget of the program is exhausted.
inline constexpr unsigned StatusNotFound = 404;        ///< No route matches.
inline constexpr unsigned StatusRequestTimeout = 408;  ///< The request wasn't received in time; it didn't run.
inline constexpr unsigned StatusConflict = 409;        ///< Not possible in the current state.
inline constexpr unsigned StatusGone = 410;            ///< The store has discarded the requested history of changes.
inline constexpr unsigned StatusConditionFailed = 412; ///< A condition of a store transaction didn't hold.
inline constexpr unsigned StatusTooLarge = 413;        ///< The body exceeds the limit.
inline constexpr unsigned StatusMisdirected = 421;     ///< The address belongs to another server now; the request didn't run.
inline constexpr unsigned StatusTooManyRequests = 429; ///< Rate limit exceeded; the request didn't run.
inline constexpr unsigned StatusHeadersTooLarge = 431; ///< The headers exceed the limit.
inline constexpr unsigned StatusServerError = 500;     ///< Start of the server error statuses.
inline constexpr unsigned StatusBadGateway = 502;      ///< The server failed; the request may have run.
inline constexpr unsigned StatusUnavailable = 503;     ///< The request didn't run.
inline constexpr unsigned StatusGatewayTimeout = 504;  ///< No response in time; the request may have run.

} // namespace Vanillahall::Forward
