#include "net/internal/zmq_pump.h"

#include <boost/test/unit_test.hpp>

#include "run_until.h"

namespace anvildrum::net::internal {
namespace {

constexpr auto* kAddress = "inproc://pump";

}  // namespace

// A message arrives while the process is about to send. The send's look at the socket takes the
// descriptor's signal away, so the event loop would never be woken: the message would lie there
// until the next one. Kick() after the send finds it.
BOOST_AUTO_TEST_CASE(a_signal_taken_by_a_send_does_not_lose_the_message) {
  auto io = boost::asio::io_context{};
  auto context = zmq::context_t{};
  auto here = zmq::socket_t{context, zmq::socket_type::pair};
  auto there = zmq::socket_t{context, zmq::socket_type::pair};
  here.bind(kAddress);
  there.connect(kAddress);
  auto received = 0;
  const auto pump = std::make_shared<ZmqPump>(io, here, [&] {
    auto message = zmq::message_t{};
    if (here.recv(message, zmq::recv_flags::dontwait)) ++received;
  });
  pump->Start();
  there.send(zmq::str_buffer("first"), zmq::send_flags::none);
  BOOST_TEST(RunUntil(io, [&] { return received == 1; }));
  io.poll();
  there.send(zmq::str_buffer("second"), zmq::send_flags::none);
  BOOST_TEST((here.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0);
  pump->Kick();
  BOOST_TEST(RunUntil(io, [&] { return received == 2; }));
  pump->Stop();
}

}  // namespace anvildrum::net::internal
