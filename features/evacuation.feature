Feature: The operator evacuates failure domains, and limits requests to regions
  Endpoints of an evacuated failure domain get no requests until the evacuation is taken back. Routes
  and accounts with regions get endpoints of these regions only.

  Scenario: Nothing reaches an evacuated failure domain until the evacuation is taken back
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When failure domain "b" is evacuated, and later the evacuation is taken back
    Then its endpoint gets nothing from either instance meanwhile, and requests again after that

  Scenario: An instance that starts while the store is away learns of an evacuation
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When failure domain "b" is evacuated and a further instance starts that cannot read the store
    Then the endpoint of that failure domain gets nothing from the further instance

  Scenario: An evacuation holds although the store was restored from a copy without it
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When failure domain "b" is evacuated and the store is restored from a copy made before
    Then its endpoint gets nothing from either instance

  Scenario: An instance that was cut off while an evacuation was announced learns of it later
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When failure domain "b" is evacuated while the second instance gets no datagrams for 4 s
    Then its endpoint gets nothing from either instance

  Scenario: A notice that makes no sense is dropped
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When an instance gets a notice with half an entry, and failure domain "b" is evacuated
    Then its endpoint gets nothing from either instance

  Scenario: Requests are refused at once while every failure domain is evacuated
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When both failure domains are evacuated
    Then requests are refused as not run within 50 ms, with a time to come back

  Scenario: Lists of evacuations may arrive late, twice and in any order
    When lists of evacuations arrive in any order, some of them more than once
    Then the newest one holds after each

  Scenario: A snapshot for an instance that does not know evacuations leaves them out
    Given two instances, of which the second cannot read the store, and endpoints in two failure domains
    When an instance of an earlier version asks for a snapshot
    Then the snapshot has the fields that it knows, and no others

  Scenario Outline: Requests with regions go to endpoints of these regions only
    Given a route limited to "<route>" and an account limited to "<account>", and endpoints in two regions
    When calls are sent while the endpoints of region "north" fail
    Then the endpoints of "<forbidden>" get nothing, and the calls are <outcome>

    Examples:
      | route | account | forbidden | outcome  |
      | north |         | south     | failed   |
      |       | north   | south     | failed   |
      | south |         | north     | answered |
      | south | south   | north     | answered |
      | north | south   | both      | refused  |
      | east  |         | both      | refused  |
