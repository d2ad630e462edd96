/// \file
/// Limits on client connections of the HTTP/1.1 downstream. Durations are in microseconds.
#pragma once

#include <cstddef>

#include "http1/protocol.h"

namespace streampick::http1 {

inline constexpr Time kMillisecond = 1'000;
inline constexpr Time kSecond = 1'000 * kMillisecond;

// ---- Receiving a request. The protocol requires that a client which stops sending gets an error or a
// close within 3 s of its last byte.

/// From accept to the end of the first request's head; for a later request, from its first byte.
inline constexpr Time kRequestHeadTimeout = 2'300 * kMillisecond;
/// From the last byte of a body that was received to the next one.
inline constexpr Time kBodyStallTimeout = kRequestHeadTimeout;
/// Added to kRequestHeadTimeout for each kilobyte of the body that was received: clients may send at 64 kB/s.
inline constexpr Time kBodyTimePerKilobyte = 18 * kMillisecond;

// ---- Sending a response and closing.

/// From the start of a response, or of its latest streamed part, to its last byte.
inline constexpr Time kResponseStallTimeout = 10 * kSecond;
/// From the end of sending to the close, while the client's remaining bytes are read and discarded.
inline constexpr Time kLingerTimeout = kSecond;

// ---- Idle connections.

/// From accept until a connection without a request may be evicted: its first request may be on its way.
inline constexpr Time kEvictionGrace = 50 * kMillisecond;
/// From the last response until a connection is evicted before one that never sent a request.
inline constexpr Time kPreferredEvictionIdle = kSecond;
/// From accept until a connection without a request is closed while the router drains.
inline constexpr Time kDrainGrace = 500 * kMillisecond;

/// The longest accepted X-Remaining, in microseconds: a day. A longer one is rejected as an error of the
/// client.
inline constexpr Time kMaxRemaining = 86'400 * kSecond;

// ---- Sizes in bytes.

/// A request's body is buffered up to this size while there is memory for it, and streamed beyond.
inline constexpr std::size_t kMaxBufferedBody = kMebibyte;
inline constexpr std::size_t kMaxUploadBody = 32 * kMebibyte;
/// The most bytes that a client's kernel holds after the client has written them: the default limit of Linux
/// (tcp_wmem).
inline constexpr std::size_t kMaxClientSendBuffer = 4 * kMebibyte;
/// Size of the buffer for one read from a client connection.
inline constexpr std::size_t kClientReadChunk = 4 * kKibibyte;
/// Maximum of pipelined bytes that are kept while a request is processed: without a memory reservation, and
/// with one.
inline constexpr std::size_t kMaxReadAhead = kMaxHeadSize;
inline constexpr std::size_t kMaxReservedReadAhead = kMaxHeadSize + kMaxUnstreamedBody;
/// A connection is no longer read, or is closed, once this many of its bytes were read and discarded.
inline constexpr std::size_t kMaxDiscarded = kMebibyte;

}  // namespace streampick::http1
