Feature: Faults of single processes on the platform, on real sockets

  Scenario: A coordinator with a full disk keeps running without voting
    The disk of one coordinator refuses every write. If it continued to vote, it
    could acknowledge changes that a restart loses; if it ended, its backend
    servers would lose their coordinator as well. It stops voting, and the other
    coordinators acknowledge a change, which it receives once the disk is
    writable again.
    Then a coordinator with a full disk stops voting and recovers

  Scenario: Stopping a gateway aborts no request
    SIGTERM arrives during a stream, and new requests arrive until the load
    balancer has noticed. The stream completes, a new request is served, and
    the readiness check fails at once.
    Then a stopped gateway completes its stream and serves a new request

  Scenario: A request that arrives before the first configuration waits for it
    All nodes restart after a power loss. A gateway accepts requests a second
    before it has a configuration. Most callers are on their last attempt by
    that time, so their requests would be lost if they were refused.
    Then a request to a gateway without a configuration waits and is served
    And a request with little time left is refused with a retry time

  Scenario: A log reader that stops reading does not block the process
    Nobody reads standard output. The log fills the pipe, then its own small
    buffer, then drops lines and reports how many; nothing waits for the reader.
    Then 5000 lines into a pipe that nobody reads are written or counted

  Scenario: A connection whose request head arrives too slowly is closed
    A caller opens a connection and sends half a head. Without a limit the
    connection would occupy a descriptor forever.
    Then half a head gets a response with status 408 after the time limit

  Scenario: Servers that report a rate limit get no requests beyond their permits, on real sockets
    Both servers of a plain service report a limit of one request in ten
    seconds. A gateway and the coordinators are real: the first call to each
    server reports the limit, the initial permits serve two more calls, and all
    others are refused as not run.
    Then of 10 calls in a row to two servers that report a limit 4 are served
    And the others are refused with a retry time

  Scenario: Servers that request a pause get no calls during it, on real sockets
    Then of 10 calls in a row to two servers that request a pause each gets 1
    And the others are refused with a retry time, as paused

  Scenario: A server that reports that it is leaving gets no more calls, on real sockets
    The heartbeats of the leaving server still report that it is ready.
    Then of 10 calls in a row to two servers the leaving one gets at most 1

  Scenario: A server is drained if its response to an order says that it is leaving
    Then a server that reports leaving in the response to an order is draining

  Scenario: A request that ended servers stays blocked after the coordinators restart
    All coordinators restart. A request that ended three servers would end
    three more if the new process could not decode the file of the previous one.
    Then a request that was blocked before a coordinator restarts stays blocked

  Scenario Outline: A response without end takes no memory of the gateway
    A server in trouble sends bytes until its connection is closed. A caller that
    reads more slowly once had the difference buffered without a limit.
    Then <part> without end ends for a caller that <manner>, in flat memory

    Examples:
      | part       | manner        |
      | a body     | reads         |
      | a body     | reads slowly  |
      | a body     | reads nothing |
      | an event   | reads         |
