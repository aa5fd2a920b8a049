//! Statements that do not work on shared server connections have to be rejected, however they are spelled: what they
//! set would be gone with the next reset, and what they read would belong to another session. And the router has to
//! read a statement as the server does, or it would take a write for a read and repeat it.
use mysql_wire::errors::UNSUPPORTED;
use mysql_wire::protocol::is_utf8_collation;
use mysql_wire::statement::scan;

fn is_rejected(text: &str) -> bool {
    scan(text).check_supported().is_err_and(|error| error.code == UNSUPPORTED)
}

/// Guards against settings, transactions and locks of one client that meet another one on the same connection.
#[test]
fn statements_that_change_the_session_are_rejected() {
    for text in [
        "/*!40101 SET autocommit=0 */",
        "/*! SET autocommit=0 */",
        "/*!80000SET autocommit=0*/",
        "/*M!100100 SET autocommit=0 */",
        "/* c=order */ /*!40101 SET /* x */ autocommit=0 */",
        "--\tSELECT 1\nSET autocommit=0",
        "--\nSET autocommit=0",
        "#\nSET autocommit=0",
        "/*!40101 START TRANSACTION */",
        "FLUSH TABLES WITH READ LOCK",
        "flush local tables orders with  read lock;",
        "FLUSH TABLES orders FOR EXPORT",
        "BACKUP LOCK orders",
        "CREATE OR REPLACE TEMPORARY TABLE t (a INT)",
        "CREATE /*!50000 TEMPORARY */ TABLE t (a INT)",
        "DROP TEMPORARY TABLE t",
        "SELECT a INTO @a FROM t",
        "SELECT 1; SET autocommit=0",
        "INSERT INTO t VALUES (1);; SET @a = 1",
        "SET STATEMENT max_statement_time=1 FOR SELECT 1",
        "KILL QUERY 7",
        "kill 7",
        "EXPLAIN FOR CONNECTION 7",
    ] {
        assert!(is_rejected(text), "{text}");
    }
}

/// Guards against answers that come from the session of another client's statement.
#[test]
fn statements_that_read_the_session_are_rejected() {
    for text in [
        "select @@identity",
        "SELECT @@session.identity",
        "select @@session . last_insert_id",
        "select @@`identity`",
        "select 1 from t where id = @@last_insert_id",
        "select @@warning_count",
        "select last_insert_id ()",
        "select last_insert_id\n(\n)",
        "select last_insert_id/**/()",
        "select `last_insert_id`()",
        "insert into lines values (last_insert_id ())",
        "select get_lock ('x', 1)",
        "do release_all_locks()",
        "select found_rows(), row_count()",
        "show warnings",
        "SHOW ERRORS LIMIT 1",
        "show count(*) warnings",
        "show count ( * ) errors",
        "get diagnostics condition 1 a = message_text",
        "select /*!40101 @@identity */",
        "/*!99999 select 1 */ select connection_id()",
    ] {
        assert!(is_rejected(text), "{text}");
    }
}

#[test]
fn statements_that_any_session_answers_alike_are_supported() {
    for text in [
        "select row_count, found_rows from stock where last_insert_id in (1, 2)",
        "insert into notes values ('; SET autocommit=0', \"last_insert_id()\")",
        "select 1; -- the end",
        "select 1 -- ; set autocommit=0",
        "select 5--1",
        "select @@global.read_only, @@sql_mode",
        "show count_of",
        "show variables like 'a'",
        "flush privileges",
        "create procedure p() begin select 1; select 2; end",
        "create table temporary_orders (a int)",
        "/*!40000 ALTER TABLE orders DISABLE KEYS */",
        "call place_order('get_lock (1)')",
    ] {
        assert_eq!(scan(text).check_supported(), Ok(()), "{text}");
    }
}

/// Guards against a write that is taken for a read, and is sent again after it may have run: whether a server runs the
/// contents of an executable comment depends on its version.
#[test]
fn statement_counts_as_a_read_only_if_each_server_reads_it_so() {
    assert!(scan("select /*!80000 high_priority */ 1").is_read_only());
    assert!(scan("/*!40101 select 1 */").is_read_only());
    for text in [
        "/*!99999 select 1 */ insert into orders values (1)",
        "/*!40101 insert into orders */ select 1",
        "--\tselect 1\ninsert into orders values (1)",
    ] {
        assert!(!scan(text).is_read_only(), "{text}");
    }
    assert!(!scan("/*!99999 insert into a values (1) */ call p()").is_atomic());
    assert!(scan("/*!99999 insert into a values (1) */ call p()").is_call());
    assert!(scan("/*!40101 insert into a values (1) */").is_atomic());
}

/// Guards against texts of a client in another character set that are stored as if they were UTF-8.
#[test]
fn only_collations_of_utf8_and_its_subsets_count_as_utf8() {
    let latin1_swedish_ci = 8;
    let gbk_chinese_ci = 28;
    assert!(![latin1_swedish_ci, gbk_chinese_ci].into_iter().any(is_utf8_collation));
    let utf8mb3_general_ci = 33;
    let utf8mb4_0900_ai_ci = 255;
    assert!([utf8mb3_general_ci, 45, 224, utf8mb4_0900_ai_ci].into_iter().all(is_utf8_collation));
}
