Feature: Faults of single processes on the platform, on real sockets

  Scenario: A coordinator whose disk is full goes on without voting
    The disk of one coordinator refuses every write. If it went on voting it
    could acknowledge what a restart takes back; if it ended, its backend
    servers would lose it as well. It stops voting, the others acknowledge a
    change, and when the disk takes writes again it has that change, too.
    Then a coordinator with a full disk stops voting and comes back

  Scenario: A gateway that is stopped cuts nothing
    SIGTERM comes while a stream runs, and callers go on coming until the
    balancer has noticed. The stream ends whole, a newcomer is answered, and
    the readiness check says at once that no more should come.
    Then a gateway that is stopped in a stream ends it whole

  Scenario: A request that comes before the first configuration waits for it
    All nodes have lost power and start again. A gateway answers a second before
    it has a configuration. Most callers come with their last try by then: told
    to come back they would be lost.
    Then a request to a gateway that has no configuration yet is answered by it
    And one whose time is short is told when to come back

  Scenario: A reader of the log that stops does not stop the process
    Nobody reads standard output. The log fills the pipe, then its own small
    buffer, then drops lines and says how many; nothing waits for the reader.
    Then 5000 lines into a pipe that nobody reads are written or counted

  Scenario: A head that comes byte by byte is ended in time
    A caller opens a connection and sends half a head. It would hold a
    descriptor for ever.
    Then half a head is answered with status 408 after the time limit

  Scenario: Servers that name a limit get no more than that, on real sockets
    Both servers of a plain service tell that they take a request each ten
    seconds. A gateway and the coordinators are real: the first call to each
    tells the limit, the permits that are there at once serve two more, and all
    others are refused as not run.
    Then of 10 calls in a row to two servers that name a limit 4 are served
    And the others are told when to come back

  Scenario: Servers that ask for a pause get no calls in it, on real sockets
    Then of 10 calls in a row to two servers that ask for a pause each gets 1
    And the others are told when to come back, as paused

  Scenario: A server that says that it leaves gets no calls, on real sockets
    Its heartbeats go on to say that it is ready.
    Then of 10 calls in a row to two servers one that leaves gets 1 at most

  Scenario: A server that says in the answer to an order that it leaves is known
    Then a server that says so in the answer to an order is taken for draining

  Scenario: The lost runs that a coordinator wrote are known to its next process
    All coordinators start again. A request that ended three servers would end
    three more, if the file that one process writes were not what the next reads.
    Then a content that was blocked before a coordinator starts again still is
