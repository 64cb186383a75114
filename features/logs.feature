Feature: Logs show what happened to a request and never delay one

  Scenario: The log lines about one request are collected from all processes
    Given the logs of two processes, one with a request that was placed, broke off and failed
    When the log lines about this request are collected
    Then they are the request's lines and the state changes before them, in order of time

  Scenario: The table of accounts sums up each second over all processes
    Given the logs of two processes, with one account refused for exceeding its share and one served
    When the table of accounts is built
    Then it has the tokens placed and refused, the refusals and their circumstances for each second

  Scenario: A log reader that stops reading causes counted losses of lines and no delay
    Given a log stream that writes to a pipe that nobody reads
    When 10000 lines are written to it
    Then no write blocked, and the number of dropped lines is logged once the pipe is read

  Scenario: Excess lines of one kind are replaced by a count
    When 1000 lines of one kind and one of another are logged within a second
    Then 200 and 1 are written, and the next line of the first kind reports that 800 were left out

  Scenario Outline: Reports of libraries and of the interpreter become structured log lines
    Given a process that has started its log
    When <report>
    Then its log has one JSON line with event "<event>", and nothing else

    Examples:
      | report                                        | event                |
      | a library logs an error with a long traceback | library_report       |
      | a library warns                               | library_report       |
      | a finalizer raises                            | exception_not_raised |
      | the process crashes                           | crashed              |
