Feature: Log lines of libraries and of the interpreter

  Scenario: A record of a library that does not fit its text is a line, not a traceback
    Logging itself prints a traceback as text where a record can't be formatted.
    Then a warning of a library is one line with its logger and text
    And an error of a library is one line with the place of its exception
    And a record whose arguments do not fit its text is one line
    And a record below a warning is no line

  Scenario Outline: What ends or troubles a program leaves no bare text among its lines
    Text among JSON lines names no request and no process, and is not read.
    When a program with the log of <kind> processes <fault>
    Then its output has only JSON lines, one of which is "<event>" with "<text>"

    Examples:
      | kind     | fault                                 | event                | text        |
      | platform | raises an exception                   | exception_uncaught   | ValueError  |
      | platform | raises an exception in a thread       | exception_uncaught   | ValueError  |
      | platform | raises an exception in a destructor   | exception_unraisable | ValueError  |
      | platform | never awaits a coroutine              | library_log          | never await |
      | platform | has a library log an exception        | library_log          | ValueError  |
      | other    | raises an exception                   | exception_uncaught   | ValueError  |
      | other    | has a library log an exception        | library_log          | ValueError  |

  Scenario: A flood of warnings is counted, not written
    A reader that is slow, or does not read, must not make the process hold them.
    Then 20000 warnings in a second take less than 100 KB, and the next line counts the others
