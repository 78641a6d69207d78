Feature: The life of a request at an entry

  Scenario: A replica dies in mid stream
    A stream breaks after some tokens. The request goes on elsewhere from the
    next token, and the caller gets every token once, in order.
    Given a deployment in three zones
    When streams run and a member of the group of one dies
    And 20 s pass
    Then all requests have their whole answer

  Scenario: A connection goes silent while the server works on
    Something between entry and server loses track of one connection, without
    any error. The entry joins the stream over a new connection; it does not
    declare the server dead and run the request again.
    Given a deployment in three zones
    When a stream runs and its connection goes silent
    And 20 s pass
    Then all requests have their whole answer
    And the request ran on one server only

  Scenario: A server pauses for 30 s and then goes on
    A server freezes in mid stream. Joining it again is silent as well, so the
    request moves on. When the server wakes up, its late frames are dropped.
    Given a deployment in three zones
    When streams run and the leading server of one pauses for 30 s
    And 60 s pass
    Then all requests have their whole answer

  Scenario: Frames that are late, doubled or foreign never reach a caller
    A server's frames come twice, late from a former attempt, and once with
    the id of another request. The caller sees its own answer only.
    Given a deployment in three zones
    When a stream gets doubled, late and foreign frames
    And 20 s pass
    Then all requests have their whole answer

  Scenario: A request that may run once is not tried again after a doubt
    The server dies while a work order runs on it. Whether it ran is not
    known, so it is not sent to another server, and the caller is told.
    Given a deployment in three zones
    When the server of a call that may run once dies during the call
    And 3 s pass
    Then the call is refused as may_have_run with code "outcome_unknown"

  Scenario: An outage of a third of the replicas does not multiply the traffic
    A third of the replicas vanish under load. Extra attempts stay below one
    in ten requests, and all goes back to normal after it.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When traffic runs and one domain of each zone goes dark
    Then extra attempts are below 10 in 100 requests
    And no request is refused for the servers that it ended or that failed

  Scenario: An entry stops gracefully
    An entry is asked to stop. It takes no new request, says so as not run
    with a time to come back, finishes what it has, and then leaves.
    Given a deployment in three zones
    When an entry with streams in flight is asked to stop
    And a request is sent to the stopping entry
    And 20 s pass
    Then all requests have their whole answer
    And the late request was refused as not run
    And the entry has stopped

  Scenario: What cannot meet its deadline is refused at once
    A service is overloaded. Requests that would wait beyond their deadline
    are refused at once, as not run, with a time to come back.
    Given a deployment in three zones
    When 1500 requests of 2 s deadline come to one entry within a second
    And 60 s pass
    Then each refused request was refused within its deadline as not run
    And each refusal says when to come back

  Scenario: Urgent requests go first
    Ordinary requests fill the queue. An urgent one that comes last starts
    before them; at a full queue an ordinary one gives way to it.
    Given a full queue of ordinary requests
    When an urgent request comes
    Then it is the next one taken, and an ordinary one gave way

  Scenario: A large workspace delays only itself
    One workspace sends 100 requests before another one sends 5. They are
    taken in turns, so the small one does not wait for the large one.
    Given a queue with 100 requests of "large" and then 5 of "small"
    Then all 5 of "small" are among the first 11 taken

  Scenario: A caller that leaves frees its place
    A caller hangs up. Its request is cancelled on the server, so that its
    slot is not spent on an answer nobody reads.
    Given a deployment in three zones
    When a caller leaves in mid stream
    And 1 s pass
    Then no server works on its request

  Scenario: A straggler loses traffic by degrees and gets it back
    One replica becomes eight times slower without failing. It gets clearly
    less work, never none, so that its recovery is seen; when it is fast
    again it gets its part again.
    Given a deployment in three zones
    When one replica of "buda-hall" is 8 times slower for 60 s under traffic
    Then it got less than 60 in 100 of what its neighbour got, and some
    When it is as fast as the others for 120 s
    Then it got more than 60 in 100 of what its neighbour got, and some

  Scenario: One submission does not end server after server
    A request ends each server that runs it, 0.1 s after it began. Nothing of
    its answer ever comes. Tried again for as long as the budget for retries
    lasted, one submission ended all replicas with everything they ran.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that ends its servers is submitted once
    And 20 s pass
    Then it ended 3 servers at most
    And it is refused as may_have_run with code "replicas_failed"

  Scenario: A request that ended servers is not run again by its entry
    Its caller submits it again, with the same body. The entry remembered
    nothing of the former submissions.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that ends its servers is submitted 5 times to one entry
    Then it ended 3 servers at most
    And it is refused as not_run with code "ends_servers"
    And another request is answered

  Scenario: All entries refuse a request that ended servers by way of some
    Its caller submits it to another entry each time. What each entry found is
    joined by the control processes of all zones.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that ends its servers is submitted to 5 entries in turn
    Then it ended 4 servers at most
    And all entries refuse it as not_run with code "ends_servers"

  Scenario: Servers that ended by way of entries of several zones add up
    Its caller leaves once a server has ended, and goes to another zone. No
    entry has seen more than one.
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request ends one server by way of an entry of each zone
    Then all entries refuse it as not_run with code "ends_servers"

  Scenario: An entry that starts again refuses what the others refuse
    Given a deployment with 12 engines a zone in 3 domains and 3 replicas
    When a request that ends its servers is submitted to 5 entries in turn
    And all entries and control processes of a zone start again
    And 10 s pass
    Then all entries refuse it as not_run with code "ends_servers"

  Scenario: A server that asks for a pause gets no work from an entry in it
    Given a deployment in three zones
    When one of the replicas turns work away and asks for 3 s, for 10 s
    And 20 s pass
    Then no entry sends it anything between 0.5 and 3 s after a refusal
    And all requests have their whole answer

  Scenario: What all servers turn away for long is refused at once
    Given a deployment in three zones
    When all replicas turn work away and ask for 100 s, for 5 s
    Then each request is refused as not_run within 1 s, with a time to come back
