@processes
Feature: Failures of real processes

  Scenario: The holder of a zone lease and the leader of the log are killed
    Both control processes die by SIGKILL while callers ask. Callers notice
    nothing; after the takeover an operator's change is accepted.
    When the log leader and a zone's lease holder are killed
    Then callers of every zone are still served
    And a change is accepted again
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: A control process that was frozen holds no lease when it wakes
    A lease holder is stopped by SIGSTOP until another one has taken over, and
    goes on by SIGCONT. The groups go on serving, and only one holds the lease.
    When a zone's lease holder is frozen until another one holds the lease
    And it goes on
    Then one process holds the lease of that zone and all replicas serve

  Scenario: The entry that runs a work order is killed
    The entry dies by SIGKILL while the plain service works on a call. The
    resend through another zone is told that it may have run; it ran once.
    When an entry is killed while its work order runs
    Then a resend elsewhere is told may_have_run and the service ran it once
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: An entry is stopped by SIGTERM while a stream runs
    The entry takes no new connections, the stream gets its whole answer, and
    the process ends with exit code 0.
    When an entry is asked to stop while a stream runs
    Then the stream is whole and the process ends by itself
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: A voter's data folder is removed
    A voter dies, its folder is deleted, and it starts anew. It joins as a new
    member and nothing that was accepted is lost.
    When a voter is killed and its data folder removed
    And the killed processes are started again
    Then every process follows the newest version
    And a change is accepted again

  Scenario: A data folder of another VM is refused at start
    When a control process is started with another VM's data folder
    Then it ends with exit code 6 and says whose folder it is
