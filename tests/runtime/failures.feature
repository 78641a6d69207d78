@processes
Feature: Failures of real processes

  Scenario: Callers are served after a zone's lease holder and the log leader are killed
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
    And the frozen process resumes
    Then one process holds the lease of that zone and all replicas serve

  Scenario: A work order runs only once although its entry is killed
    The entry is ended by SIGKILL while the plain service runs an order. The
    response to the resend through another zone says that the order may have
    run. It ran once.
    When an entry is killed while its work order runs
    Then a resend through another entry gets may_have_run and the order ran once
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: An entry that is stopped by SIGTERM completes its stream
    The entry accepts no new connections, the stream is completed, and the
    process ends with exit code 0.
    When an entry gets SIGTERM while a stream runs
    Then the stream is complete and the process ends by itself
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: An entry that gets SIGTERM twice completes its stream
    The second signal neither ends the process nor begins the stop again.
    When an entry gets SIGTERM twice while a stream runs
    Then the stream is complete and the process ends by itself
    When the killed processes are started again
    Then every process follows the newest version

  Scenario: No accepted change is lost when a voter's data folder is removed
    A voter is killed, its folder is deleted, and it is started again. It joins
    as a new member, and no accepted change is lost.
    When a voter is killed and its data folder removed
    And the killed processes are started again
    Then every process follows the newest version
    And a change is accepted again

  Scenario: A data folder of another VM is refused at start
    When a control process is started with another VM's data folder
    Then the process ends with exit code 6 and logs the owner of the folder
