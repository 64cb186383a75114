Feature: Logs tell what became of a request and never hold one up

  Scenario: A request's story is told over all processes, in order
    Given the logs of two processes, one with a request that was placed, broke off and failed
    When its story is asked for
    Then it has the request's lines and the changes of state before them, in order of time

  Scenario: What accounts were given and refused is told by second, over all processes
    Given the logs of two processes, with an account refused over its share and one served
    When the table of accounts is asked for
    Then it tells for each second what was given, refused, came back, was over and met a full home

  Scenario: A reader that stops reading costs lines, counted, and no time
    Given a process that writes to a pipe that nobody reads
    When it writes 10000 lines
    Then it did not wait, and says how many lines are missing once the pipe is read

  Scenario: A flood of lines of one kind is folded into a count
    When 1000 lines of one kind and one of another come within a second
    Then 200 and 1 are written, and the next one says that 800 were left out

  Scenario Outline: What a library or the interpreter reports is a line like all others
    Given a process whose log is started
    When <report>
    Then its log has one JSON line with event "<event>", and nothing else

    Examples:
      | report                                        | event                |
      | a library logs an error with a long traceback | library_report       |
      | a library warns                               | library_report       |
      | a finalizer raises                            | exception_not_raised |
      | the process crashes                           | crashed              |
