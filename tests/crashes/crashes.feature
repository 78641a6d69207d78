Feature: Requests that crash the servers that run them

  Scenario: A request that crashes each replica that runs it is soon blocked
    A caller sends the same body repeatedly, to any gateway. Each run crashes
    its replica 0.1 s after its start, and all other streams of the replica
    fail. The gateway retries the request on another replica, which crashes as
    well. If each gateway dropped its record of the request with the final
    response, and no gateway informed the others, each submission could crash
    two more servers, and a tenth of all requests would fail in waves of some
    seconds.
    Only the body distinguishes this request from others.
    Given gateways and 24 servers with callers
    When a caller sends a request every 0.3 seconds that crashes its replica
    Then from 1 second after the third crash that request reaches no replica
    And each later submission is refused at once as not run
    And nine in ten requests of other callers get a response after that

  Scenario: Only one gateway sends a request that crashed two servers
    If all gateways sent the request at the same time, each of them could crash
    one more server.
    Given gateways and 72 servers with callers
    When a request crashes 2 servers and is then sent 4 times to each gateway
    Then at most 3 servers crashed while running that request

  Scenario: Submissions of a request that crashed a server are sent one at a time
    If they were sent in parallel, each submission would crash a server before
    the first loss is recorded.
    Given gateways and 72 servers with callers
    When a request crashes 1 server and is then sent 5 times to the same gateway
    Then at most 4 servers crashed while running that request

  Scenario: A request that lost two servers by coincidence is served again
    Gateways must not keep refusing a suspected request that crashes no server.
    Given gateways and 72 servers with callers
    When a request loses 2 servers that end for another reason
    Then every gateway serves the same request from 4 seconds after these losses

  Scenario: Requests whose servers crash because of VM faults are not refused
    Heads crash one after the other because of faults of their VMs. All streams
    of a crashed head fail, and some of these streams lose the next server as
    well.
    Given gateways and 72 servers with callers
    When a busy head crashes every 0.5 seconds, 8 times
    Then no request is refused because of these crashes
    And no node blocks a request

  Scenario: Requests that share servers with a crashing request are not refused
    The other requests also lose the servers that the crashing request crashes.
    They continue on other servers, to which the crashing request may be sent
    too.
    Given gateways and 24 servers with callers
    When a caller sends a request every 0.3 seconds that crashes its replica
    Then no other request is refused because of these crashes

  Scenario: A request that many callers repeat is not blamed for lost servers
    Each server runs the same request, which has been served before. All heads
    of a zone crash at the same moment in a power failure.
    Given gateways and 24 servers with callers
    When all busy heads crash at once while running the same request
    Then that request is served again within 6 seconds

  Scenario: A restarted gateway receives the blocked requests at once
    Otherwise the gateway would send the blocked requests, and crash servers
    that the other gateways protect.
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When a gateway restarts
    Then that gateway refuses the request as soon as it has a configuration

  Scenario: A request stays blocked when all nodes restart
    All processes lose power at the same moment. Only what the coordinators
    persisted to disk is left.
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When all coordinators and gateways restart after a power loss
    Then every gateway refuses the request 2 seconds later

  Scenario: A request stays blocked when coordinators lose their disks one after the other
    Given gateways and 24 servers with callers
    And a request that is blocked everywhere
    When the coordinators lose their disks one after the other
    Then every gateway refuses the request 2 seconds later
    When a gateway restarts
    Then that gateway refuses the request as soon as it has a configuration

  Scenario: A zone that was isolated refuses requests blocked elsewhere once the partition heals
    Given gateways and 24 servers with callers
    When a zone is isolated and a request is blocked in the others
    And the partitions are healed
    Then every gateway refuses the request 2 seconds later

  Scenario: Servers that a request crashes on both sides of a partition add up
    Two servers crash in the connected zones, one in the isolated zone.
    Given gateways and 24 servers with callers
    When a zone is isolated and a request crashes 1 server there and 2 elsewhere
    And the partitions are healed
    Then every gateway refuses the request 2 seconds later

  Scenario: Crashes that happen while no coordinator runs are reported later
    Gateways keep lost runs until there is a coordinator to report them to.
    Given gateways and 24 servers with callers
    When all coordinators are stopped for 4 seconds and a request crashes 3 servers
    Then every gateway refuses the request 4 seconds later

  Scenario: A live server is probed once for each of its lost runs
    Gateways report a lost run twice, as the first message may be lost, and
    report all lost runs to a new home coordinator. Each probe takes the server
    some time.
    Given gateways and 24 servers with callers
    When a connection to a live head is reset in the middle of a response
    Then that head is probed once
