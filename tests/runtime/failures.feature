@processes
Feature: Failures of real processes

  Scenario: The holder of a zone lease and the leader of the log are killed
    Both control processes are ended by SIGKILL. Requests of callers still
    succeed; after the takeover an operator's change is accepted.
    When the log leader and a zone's lease holder are killed
    Then callers of every zone are still served
    And a change is accepted again
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: A control process that was frozen holds no lease once it resumes
    A lease holder is stopped by SIGSTOP until another process has taken over;
    SIGCONT resumes it. The groups keep serving, and at most one process holds
    the lease.
    When a zone's lease holder is frozen until another one holds the lease
    And it resumes
    Then one process holds the lease of that zone and all replicas serve

  Scenario: The entry that runs a work order is killed
    The entry is ended by SIGKILL while the plain service runs an order. The
    response to the resend through another zone says that the order may have
    run. It ran once.
    When an entry is killed while its work order runs
    Then a resend through another entry gets may_have_run and the order ran once
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: An entry is stopped by SIGTERM while a stream runs
    The entry accepts no new connections, the stream is completed, and the
    process ends with exit code 0.
    When an entry gets SIGTERM while a stream runs
    Then the stream is complete and the process ends by itself
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: A voter's data folder is removed
    A voter is killed, its folder is deleted, and it is started again. It joins
    as a new member, and no accepted change is lost.
    When a voter is killed and its data folder removed
    And the killed processes are started again
    Then every process follows the newest version
    And a change is accepted again

  Scenario: A data folder of another VM is refused at start
    When a control process is started with another VM's data folder
    Then it ends with exit code 6 and logs the owner of the folder
