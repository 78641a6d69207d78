@processes
Feature: Whole sessions, as caller, operator and backend server see them

  Each session is recorded from all three sides and compared with a golden
  file; ids, times and ports are replaced by names. `behave -D golden=write
  tests/sessions` writes the files anew.

  Scenario: An ordinary day
    Operators look around, lose a race, and switch presets; callers stream,
    ask for whole answers, and send a work order twice.
    When the session "ordinary day" is played
    Then its record equals the golden file "ordinary_day.txt"

  Scenario: A member of a replica dies in mid stream
    Played in given time: a caller's stream goes on elsewhere, the group is
    repaired with a spare, and the late VM is freed when it comes back.
    When the session "lost member" is played
    Then its record equals the golden file "lost_member.txt"

  Scenario: A zone is cut off
    Played in given time: callers inside are served, work orders and changes
    are refused honestly, and all comes together again.
    When the session "cut zone" is played
    Then its record equals the golden file "cut_zone.txt"
